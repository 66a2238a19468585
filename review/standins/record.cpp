#include "review/standins/record.h"

#include <fmt/format.h>

namespace hawthornslip::review {

Record::Record(EventLoop &loop, const std::string &path)
    : m_loop(loop)
    , m_start(loop.now())
{
    // Other processes of a script append to the file.
    m_file.open(path, std::ios::trunc);
    m_file.close();
    m_file.open(path, std::ios::app);
}

void Record::line(const std::string &text)
{
    m_file << fmt::format("{:8} ms  {}\n", toMillis(elapsed()), text) << std::flush;
}

void Record::broken(const std::string &text)
{
    ++m_breaks;
    line("BROKEN: " + text);
}

} // namespace hawthornslip::review
