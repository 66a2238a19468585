#pragma once

#include "core/time.h"
#include "modules/versions/version_history.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace hawthornslip {

/** Identifies a stream over the tries of its caller; see streamKey(). */
using StreamKey = std::uint64_t;

/** Streams that began at one software version of a service. */
struct StreamGroup
{
    std::string service;
    std::string version;
    std::vector<StreamKey> streams;

    bool operator==(const StreamGroup &) const = default;
};

/** What one node knows of versions and keeps in the platform's store, to outlast its process. */
struct VersionJournal
{
    UnixMillis writtenAt = 0;
    /** Streams that the node began to relay until then are in the journal, unless complete. */
    UnixMillis completeUntil = 0;
    std::vector<SeenVersion> versions;
    /** Streams that the node relayed and that are not known to be complete. */
    std::vector<StreamGroup> streams;

    bool operator==(const VersionJournal &) const = default;
};

/** The journals of all nodes in the platform's store. Callbacks run on the event loop. */
class VersionStore
{
public:
    /** A journal and the node that wrote it. */
    struct Entry
    {
        std::string node;
        VersionJournal journal;
    };
    /** The journals of all nodes. */
    struct Journals
    {
        std::vector<Entry> entries;
        /** False if the object of some node could not be understood. */
        bool isComplete = true;
    };
    /** Gets nothing if the store could not be read. */
    using ReadDone = std::function<void(std::optional<Journals> journals)>;

    virtual ~VersionStore() = default;

    /** @return the name under which this node writes. */
    virtual std::string self() const = 0;

    /** Replaces this node's journal. @param done called with true when the store has it. */
    virtual void write(const VersionJournal &journal, std::function<void(bool)> done) = 0;

    /** Reads the journals of all nodes as they are now. */
    virtual void readAll(ReadDone done) = 0;

    /** Deletes the journal of a node that is gone for good. */
    virtual void remove(const std::string &node) = 0;
};

} // namespace hawthornslip
