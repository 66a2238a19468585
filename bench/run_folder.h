#pragma once

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <string>

namespace hawthornslip::bench {

/** A temporary folder that is removed at the end unless it is kept. */
class RunFolder
{
public:
    explicit RunFolder(bool keepIt)
        : m_path((std::filesystem::temp_directory_path() / "hawthornslip-bench-XXXXXX").string())
        , m_keep(keepIt)
    {
        if (mkdtemp(m_path.data()) == nullptr)
            throw std::runtime_error("no temporary folder");
    }
    ~RunFolder()
    {
        std::error_code ignored;
        if (!m_keep)
            std::filesystem::remove_all(m_path, ignored);
    }
    RunFolder(const RunFolder &) = delete;
    RunFolder &operator=(const RunFolder &) = delete;

    /** Leaves the folder in place. */
    void keep() { m_keep = true; }
    const std::string &path() const { return m_path; }

    /** Writes a file. @return its path. */
    std::string write(const std::string &name, const std::string &text) const
    {
        const std::string file = m_path + "/" + name;
        std::ofstream(file) << text;
        return file;
    }

private:
    std::string m_path;
    bool m_keep;
};

} // namespace hawthornslip::bench
