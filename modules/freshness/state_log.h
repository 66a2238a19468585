#pragma once

#include "core/state_position.h"
#include "core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hawthornslip {

/** One encoded object of the shared state, or the notice of its removal. */
struct StateObject
{
    std::string name;
    bool removed = false;
    /** Empty when removed. */
    std::string encoded;

    bool operator==(const StateObject &) const = default;
};

/** The objects that changed after a position, or all of them. */
struct StateChanges
{
    /** Position that a reader has reached once it applied the objects. */
    StatePosition position;
    /** The objects are the complete list; those that are missing from it were removed. */
    bool isComplete = false;
    std::vector<StateObject> objects;
};

/**
 * One kind of shared state as this node last read it, with a history of changes from which other
 * nodes can follow it. Objects are staged as they are read and become visible with commit().
 */
class StateLog
{
public:
    /** Stages the complete list. */
    void stageList(std::vector<StateObject> objects);
    /** Stages a change of one object. */
    void stage(StateObject object);

    /**
     * Makes the staged objects visible. In another era than before, they have to be a complete
     * list, and the history starts anew.
     *
     * @param position the state's position with them.
     * @param confirmedAt time at which the state was known to be complete.
     */
    void commit(StatePosition position, TimePoint confirmedAt);

    /** @return true once a complete list was committed. */
    bool isListed() const { return m_listed; }
    TimePoint confirmedAt() const { return m_confirmedAt; }

    /**
     * @param from the position that the reader has; nothing for the complete list.
     * @return the changes since then; the complete list when the history does not reach back, or
     *         when the position belongs to another era.
     */
    StateChanges since(std::optional<StatePosition> from) const;

    /** Passes an object on with the next commit that stages it, even if it is the same by then. */
    void passOnAgain(const std::string &name);

    /** @return the committed object, also a removed one, or nullptr. */
    const StateObject *find(const std::string &name) const;

    /** @return the era of the state. */
    std::uint64_t era() const { return m_position.era; }

private:
    struct Record
    {
        StateObject object;
        std::uint64_t changedAt = 0;
    };

    void put(StateObject object, std::uint64_t revision);
    void forgetOldRemovals();

    std::vector<StateObject> m_staged;
    bool m_isListStaged = false;
    bool m_listed = false;
    std::map<std::string, Record> m_records;
    StatePosition m_position;
    /** Oldest revision from which the changes are known. */
    std::uint64_t m_base = 0;
    TimePoint m_confirmedAt{};
};

} // namespace hawthornslip
