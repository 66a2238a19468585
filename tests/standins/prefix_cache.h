#pragma once

#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>

namespace hawthornslip::standin {

/** Bytes of a prompt that count as one token. */
inline constexpr std::uint32_t kBytesPerToken = 4;

/** Remembers prompt prefixes in blocks of 16 tokens and drops the least recently used. */
class PrefixCache
{
public:
    explicit PrefixCache(std::uint32_t maxBlocks);

    /** Looks @p prompt up and adds it. @return the number of its tokens that were cached. */
    std::uint32_t useTokens(std::string_view prompt);

    /** Forgets everything. */
    void clear();

private:
    /** @return true when the block was cached; it is the most recent one afterwards. */
    bool touch(std::uint64_t block);

    std::uint32_t m_maxBlocks;
    std::list<std::uint64_t> m_recent;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_blocks;
};

} // namespace hawthornslip::standin
