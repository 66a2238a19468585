#include "servers/request_path/answer_output.h"

#include <algorithm>
#include <cstring>

namespace hawthornslip {

void AnswerOutput::append(std::string_view bytes)
{
    m_bytes += bytes;
    m_total += bytes.size();
    if (m_total <= m_recordBytes)
        m_recorded += bytes;
    else
        m_recorded.clear();
}

std::size_t AnswerOutput::take(char *room, std::size_t size)
{
    const auto n = std::min(size, m_bytes.size() - m_taken);
    std::memcpy(room, m_bytes.data() + m_taken, n);
    m_taken += n;
    if (empty())
        drop();
    return n;
}

void AnswerOutput::drop()
{
    m_bytes.clear();
    m_taken = 0;
}

} // namespace hawthornslip
