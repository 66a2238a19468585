#include "modules/queueing/workspace_shares.h"

#include <algorithm>
#include <cmath>

namespace hawthornslip {

namespace {

// A node gets a few requests of a workspace per second; a jump has to show within tenths of a
// second.
constexpr Duration kWindow = seconds(1);
// Need ends this long after the last request that found no room.
constexpr Duration kNeedTime = seconds(1);
constexpr Duration kUpdateInterval = milliseconds(50);
// Tolerates that nodes see each other's use with a delay.
constexpr double kLevelMargin = 1.1;
constexpr double kNegligibleSeconds = 0.0001;
// Reported uses below this are noise of a single short request.
constexpr Duration kMinReported = milliseconds(1);
constexpr std::size_t kMaxReported = 8;

double decay(Duration elapsed)
{
    return std::exp(-std::max(0.0, toSeconds(elapsed)) / toSeconds(kWindow));
}

Duration fromSeconds(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}

/**
 * @param asked what each workspace asks for.
 * @return the level at which the workspaces together, each with its demand up to the level, take
 *         @p capacity.
 */
double maxMinLevel(std::vector<double> asked, double capacity)
{
    std::sort(asked.begin(), asked.end());
    double left = capacity;
    for (std::size_t i = 0; i < asked.size(); ++i) {
        const double level = left / static_cast<double>(asked.size() - i);
        if (asked[i] >= level)
            return level;
        left -= asked[i];
    }
    return asked.empty() ? capacity : asked.back();
}

} // namespace

std::uint32_t workspaceKey(std::uint64_t nameHash)
{
    return std::max(1U, static_cast<std::uint32_t>(nameHash));
}

WorkspaceShares::Use &WorkspaceShares::ownUse(std::uint32_t workspace, TimePoint now)
{
    Use &use = m_own[workspace];
    const double left = decay(now - use.at);
    use.asked *= left;
    use.given *= left;
    use.at = now;
    return use;
}

void WorkspaceShares::onAsked(std::uint32_t workspace, Duration engineTime, TimePoint now)
{
    ownUse(workspace, now).asked += toSeconds(engineTime);
}

void WorkspaceShares::onGiven(std::uint32_t workspace, Duration engineTime, TimePoint now)
{
    ownUse(workspace, now).given += toSeconds(engineTime);
}

void WorkspaceShares::onNoRoom(TimePoint now)
{
    m_noRoomAt = now;
    m_hadNoRoom = true;
}

void WorkspaceShares::setPeer(const std::string &sender, const std::vector<WorkspaceUse> &uses,
                              TimePoint now)
{
    if (uses.empty())
        m_peers.erase(sender);
    else
        m_peers[sender] = {uses, now};
}

bool WorkspaceShares::isInNeed(TimePoint now) const
{
    return m_hadNoRoom && now - m_noRoomAt < kNeedTime;
}

bool WorkspaceShares::isAboveShare(std::uint32_t workspace, TimePoint now)
{
    if (!isInNeed(now))
        return false;
    update(now);
    const auto it = m_sums.find(workspace);
    return it != m_sums.end() && it->second.given > m_level;
}

std::vector<WorkspaceUse> WorkspaceShares::usesForReport(TimePoint now) const
{
    std::vector<WorkspaceUse> uses;
    if (!isInNeed(now))
        return uses;
    for (const auto &[workspace, use] : m_own) {
        const double left = decay(now - use.at);
        const WorkspaceUse it{workspace, fromSeconds(left * use.asked),
                              fromSeconds(left * use.given)};
        if (it.asked >= kMinReported)
            uses.push_back(it);
    }
    std::sort(uses.begin(), uses.end(),
              [](const WorkspaceUse &a, const WorkspaceUse &b) { return a.asked > b.asked; });
    uses.resize(std::min(uses.size(), kMaxReported));
    return uses;
}

void WorkspaceShares::update(TimePoint now)
{
    if (m_isUpdated && now - m_updatedAt < kUpdateInterval)
        return;
    m_isUpdated = true;
    m_updatedAt = now;
    sumUp(now);
    std::vector<double> asked;
    double capacity = 0;
    for (const auto &[workspace, use] : m_sums) {
        asked.push_back(use.asked);
        capacity += use.given;
    }
    // While the engines are full, they take what is given to them, unless it is too much.
    capacity = std::min(capacity, m_roomPerSecond * toSeconds(kWindow));
    m_level = kLevelMargin * maxMinLevel(std::move(asked), capacity);
}

void WorkspaceShares::sumUp(TimePoint now)
{
    std::erase_if(m_own, [now](const auto &it) {
        return decay(now - it.second.at) * it.second.asked < kNegligibleSeconds;
    });
    m_sums.clear();
    const auto add = [this](std::uint32_t workspace, double asked, double given) {
        Use &sum = m_sums[workspace];
        sum.asked += asked;
        sum.given += given;
    };
    for (const auto &[workspace, use] : m_own) {
        const double left = decay(now - use.at);
        add(workspace, left * use.asked, left * use.given);
    }
    for (const auto &[sender, peer] : m_peers) {
        const double left = decay(now - peer.at);
        for (const auto &it : peer.uses)
            add(it.workspace, left * toSeconds(it.asked), left * toSeconds(it.given));
    }
}

} // namespace hawthornslip
