#include "tests/standins/prefix_cache.h"

#include <xxhash.h>

namespace hawthornslip::standin {

namespace {

constexpr std::uint32_t kBlockTokens = 16;

} // namespace

PrefixCache::PrefixCache(std::uint32_t maxBlocks)
    : m_maxBlocks(maxBlocks)
{}

std::uint32_t PrefixCache::useTokens(std::string_view prompt)
{
    constexpr std::size_t kBlockBytes = std::size_t{kBlockTokens} * kBytesPerToken;
    std::uint64_t chain = 0;
    std::uint32_t hits = 0;
    bool prefix = true;
    for (std::size_t at = 0; at + kBlockBytes <= prompt.size(); at += kBlockBytes) {
        // Each block's name covers all blocks before it, as only a whole prefix can be reused.
        chain = XXH64(prompt.data() + at, kBlockBytes, chain);
        prefix = touch(chain) && prefix;
        hits += prefix ? kBlockTokens : 0;
    }
    return hits;
}

bool PrefixCache::touch(std::uint64_t block)
{
    if (const auto it = m_blocks.find(block); it != m_blocks.end()) {
        m_recent.splice(m_recent.begin(), m_recent, it->second);
        return true;
    }
    if (m_maxBlocks == 0)
        return false;
    if (m_blocks.size() >= m_maxBlocks) {
        m_blocks.erase(m_recent.back());
        m_recent.pop_back();
    }
    m_recent.push_front(block);
    m_blocks[block] = m_recent.begin();
    return false;
}

void PrefixCache::clear()
{
    m_recent.clear();
    m_blocks.clear();
}

} // namespace hawthornslip::standin
