#include "servers/request_path/answer_store.h"

namespace hawthornslip {

AnswerStore::AnswerStore(std::size_t maxBytes, Duration maxAge)
    : m_maxBytes(maxBytes)
    , m_maxAge(maxAge)
{}

void AnswerStore::put(const WorkspaceId &workspace, const std::string &key, StoredAnswer answer,
                      TimePoint now)
{
    if (answer.body.size() > m_maxBytes)
        return;
    const std::lock_guard lock(m_mutex);
    expire(now);
    Key id{workspace, key};
    if (const auto it = m_index.find(id); it != m_index.end())
        erase(it->second);
    while (m_bytes + answer.body.size() > m_maxBytes)
        erase(m_entries.begin());
    m_bytes += answer.body.size();
    m_entries.push_back({id, std::move(answer), now});
    m_index[std::move(id)] = std::prev(m_entries.end());
}

std::optional<StoredAnswer> AnswerStore::find(const WorkspaceId &workspace, const std::string &key,
                                              TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    expire(now);
    const auto it = m_index.find({workspace, key});
    if (it == m_index.end())
        return std::nullopt;
    return it->second->answer;
}

std::size_t AnswerStore::bytes() const
{
    const std::lock_guard lock(m_mutex);
    return m_bytes;
}

void AnswerStore::erase(Entries::iterator entry)
{
    m_bytes -= entry->answer.body.size();
    m_index.erase(entry->key);
    m_entries.erase(entry);
}

void AnswerStore::expire(TimePoint now)
{
    while (!m_entries.empty() && now - m_entries.front().storedAt >= m_maxAge)
        erase(m_entries.begin());
}

} // namespace hawthornslip
