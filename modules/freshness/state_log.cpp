#include "modules/freshness/state_log.h"

#include <algorithm>
#include <set>
#include <utility>

namespace hawthornslip {

namespace {

// Removals that are remembered. Older readers get the complete list.
constexpr std::ptrdiff_t kMaxRemovals = 512;

} // namespace

void StateLog::stageList(std::vector<StateObject> objects)
{
    m_staged = std::move(objects);
    m_isListStaged = true;
}

void StateLog::stage(StateObject object)
{
    m_staged.push_back(std::move(object));
}

void StateLog::commit(StatePosition position, TimePoint confirmedAt)
{
    auto staged = std::exchange(m_staged, {});
    if (position.era != m_position.era) {
        m_records.clear();
        m_listed = false;
        m_position = position;
    }
    if (std::exchange(m_isListStaged, false)) {
        std::set<std::string> listed;
        for (const auto &it : staged)
            listed.insert(it.name);
        for (const auto &[name, record] : m_records) {
            if (!record.object.removed && !listed.contains(name))
                staged.push_back({name, true, ""});
        }
        if (!std::exchange(m_listed, true))
            m_base = position.revision;
    }
    m_position.revision = std::max(m_position.revision, position.revision);
    m_confirmedAt = std::max(m_confirmedAt, confirmedAt);
    for (auto &it : staged)
        put(std::move(it), m_position.revision);
    forgetOldRemovals();
}

void StateLog::put(StateObject object, std::uint64_t revision)
{
    auto &record = m_records[object.name];
    if (record.changedAt != 0 && record.object == object)
        return;
    record = Record{std::move(object), revision};
}

void StateLog::forgetOldRemovals()
{
    const auto isRemoved = [](const auto &it) { return it.second.object.removed; };
    while (std::count_if(m_records.begin(), m_records.end(), isRemoved) > kMaxRemovals) {
        auto oldest = m_records.end();
        for (auto it = m_records.begin(); it != m_records.end(); ++it) {
            if (isRemoved(*it) &&
                (oldest == m_records.end() || it->second.changedAt < oldest->second.changedAt))
                oldest = it;
        }
        m_base = std::max(m_base, oldest->second.changedAt);
        m_records.erase(oldest);
    }
}

void StateLog::passOnAgain(const std::string &name)
{
    const auto it = m_records.find(name);
    if (it != m_records.end())
        it->second.changedAt = 0;
}

const StateObject *StateLog::find(const std::string &name) const
{
    const auto it = m_records.find(name);
    return it == m_records.end() ? nullptr : &it->second.object;
}

StateChanges StateLog::since(std::optional<StatePosition> from) const
{
    StateChanges changes;
    changes.position = m_position;
    changes.isComplete = !from || from->era != m_position.era || from->revision < m_base;
    if (!changes.isComplete)
        changes.position = std::max(m_position, *from);
    for (const auto &[name, record] : m_records) {
        const bool isWanted =
                changes.isComplete ? !record.object.removed : record.changedAt > from->revision;
        if (isWanted)
            changes.objects.push_back(record.object);
    }
    return changes;
}

} // namespace hawthornslip
