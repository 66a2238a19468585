#include "servers/request_path/answer_output.h"

#include <algorithm>
#include <cstring>

namespace hawthornslip {

void AnswerOutput::append(std::string_view bytes)
{
    m_pending += bytes;
    m_totalBytes += bytes.size();
    if (m_totalBytes <= m_recordLimit)
        m_recorded += bytes;
    else
        m_recorded.clear();
}

std::size_t AnswerOutput::take(char *buffer, std::size_t size)
{
    const auto n = std::min(size, m_pending.size() - m_pendingOffset);
    std::memcpy(buffer, m_pending.data() + m_pendingOffset, n);
    m_pendingOffset += n;
    if (empty())
        drop();
    return n;
}

void AnswerOutput::drop()
{
    m_pending.clear();
    m_pendingOffset = 0;
}

} // namespace hawthornslip
