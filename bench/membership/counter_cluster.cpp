#include "bench/membership/counter_cluster.h"

#include <algorithm>
#include <utility>

namespace hawthornslip::bench {

namespace {

// Envelope fields without the sender's name: incarnation, sequence, generation, body tag.
constexpr std::size_t kHeaderBytes = 22;
constexpr std::size_t kCounterBytes = 4;
constexpr std::size_t kTagBytes = 2;
// The mean starts from a prior of this many intervals of the nominal length, so that a node that
// was just learned is not judged by one sample.
constexpr double kPriorWeight = 5;
constexpr std::uint32_t kWindow = 1000;
// Longer gaps are not sampled: they are outages and not the rhythm of a live node.
constexpr auto kLongestSample = seconds(10);
constexpr auto kTick = milliseconds(100);

} // namespace

CounterCluster::CounterCluster(std::size_t n, std::uint64_t seed, CounterScheme scheme)
    : m_scheme(scheme)
    , m_network(seed, [this](auto from, auto to, const auto &it) { receive(from, to, it); })
    , m_random(seed * 7919 + 1)
    , m_nodes(n)
{
    for (auto &it : m_nodes)
        it.views.resize(n);
}

void CounterCluster::start(std::size_t i)
{
    Node &node = m_nodes[i];
    // A restart continues above the old counter, as a higher incarnation would.
    node.counter += 1000;
    node.running = true;
    node.pausedUntil = {};
    node.backlog.clear();
    node.views.assign(m_nodes.size(), View{});
    node.nextBeat = m_clock.now() + Duration(static_cast<std::int64_t>(m_random() % 1'000'000));
    for (std::size_t k = 0; k < m_nodes.size(); ++k) {
        if (k == i || !m_nodes[k].running)
            continue;
        // Joining is not what is compared here, so all know of each other at once.
        node.views[k].live = true;
        node.views[k].heard = m_clock.now();
        m_nodes[k].views[i].live = true;
        m_nodes[k].views[i].heard = m_clock.now();
    }
}

void CounterCluster::pause(std::size_t i, Duration span)
{
    m_nodes[i].pausedUntil = m_clock.now() + span;
}

void CounterCluster::step()
{
    m_clock.advance(milliseconds(10));
    m_network.deliver(m_clock.now());
    const bool judging = m_clock.now().time_since_epoch() % kTick == Duration{0};
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        Node &node = m_nodes[i];
        if (!node.running || m_clock.now() < node.pausedUntil)
            continue;
        for (const auto &[from, message] : std::exchange(node.backlog, {}))
            handle(from, i, message);
        if (m_clock.now() >= node.nextBeat) {
            node.nextBeat = std::max(node.nextBeat + m_scheme.interval,
                                     m_clock.now() + m_scheme.interval / 2);
            beat(i);
        }
        if (judging)
            judge(i);
    }
}

void CounterCluster::beat(std::size_t i)
{
    Node &node = m_nodes[i];
    ++node.counter;
    if (m_scheme.toAll) {
        const auto own = std::make_shared<const std::vector<Entry>>(
                std::vector<Entry>{{static_cast<std::uint32_t>(i), node.counter}});
        // Those that are held dead get it too, or they could never come back.
        for (std::size_t k = 0; k < m_nodes.size(); ++k) {
            if (k != i)
                send(i, k, {Message::Kind::Heartbeat, own, nullptr});
        }
        return;
    }
    std::vector<Entry> digest;
    for (std::size_t k = 0; k < m_nodes.size(); ++k)
        digest.push_back(
                {static_cast<std::uint32_t>(k), k == i ? node.counter : node.views[k].counter});
    const auto shared = std::make_shared<const std::vector<Entry>>(std::move(digest));
    for (std::size_t n = 0; n < m_scheme.gossipPeers; ++n) {
        const std::size_t to = m_random() % m_nodes.size();
        if (to != i)
            send(i, to, {Message::Kind::Digest, nullptr, shared});
    }
}

void CounterCluster::judge(std::size_t i)
{
    Node &node = m_nodes[i];
    for (std::size_t k = 0; k < m_nodes.size(); ++k) {
        View &view = node.views[k];
        if (k == i || !view.live || !silentTooLong(view))
            continue;
        view.live = false;
        ++node.changes;
    }
}

bool CounterCluster::silentTooLong(const View &view) const
{
    const Duration silence = m_clock.now() - view.heard;
    if (m_scheme.silenceLimit > Duration{0})
        return silence > m_scheme.silenceLimit;
    const double prior = toSeconds(m_scheme.interval);
    const double mean = (view.intervalSum + kPriorWeight * prior) / (view.intervals + kPriorWeight);
    return toSeconds(silence) / mean > m_scheme.phiThreshold;
}

void CounterCluster::receive(std::size_t from, std::size_t to, const Message &message)
{
    Node &node = m_nodes[to];
    if (!node.running)
        return;
    if (m_clock.now() < node.pausedUntil)
        node.backlog.emplace_back(from, message);
    else
        handle(from, to, message);
}

void CounterCluster::handle(std::size_t from, std::size_t to, const Message &message)
{
    if (message.updates) {
        for (const auto &it : *message.updates)
            learn(to, it);
    }
    if (!message.wanted)
        return;
    // Entries that are older there are sent, those that are newer there are asked for.
    std::vector<Entry> updates;
    std::vector<Entry> wanted;
    const Node &node = m_nodes[to];
    for (const auto &it : *message.wanted) {
        const std::uint64_t counter = it.node == to ? node.counter : node.views[it.node].counter;
        if (counter > it.counter)
            updates.push_back({it.node, counter});
        else if (counter < it.counter && message.kind == Message::Kind::Digest)
            wanted.push_back({it.node, counter});
    }
    Message answer;
    answer.kind =
            message.kind == Message::Kind::Digest ? Message::Kind::Answer : Message::Kind::Delta;
    answer.updates = std::make_shared<const std::vector<Entry>>(std::move(updates));
    if (!wanted.empty())
        answer.wanted = std::make_shared<const std::vector<Entry>>(std::move(wanted));
    send(to, from, std::move(answer));
}

void CounterCluster::learn(std::size_t at, const Entry &entry)
{
    if (entry.node == at)
        return;
    Node &node = m_nodes[at];
    View &view = node.views[entry.node];
    if (entry.counter <= view.counter)
        return;
    const Duration interval = m_clock.now() - view.heard;
    if (view.live && view.counter > 0 && interval <= kLongestSample) {
        if (view.intervals == kWindow) {
            view.intervalSum -= view.intervalSum / kWindow;
            --view.intervals;
        }
        view.intervalSum += toSeconds(interval);
        ++view.intervals;
    }
    view.counter = entry.counter;
    view.heard = m_clock.now();
    if (!view.live) {
        view.live = true;
        ++node.changes;
    }
}

void CounterCluster::send(std::size_t from, std::size_t to, Message message)
{
    const std::size_t entryBytes = kTagBytes + m_scheme.nameBytes + kCounterBytes;
    std::size_t size = kHeaderBytes + m_scheme.nameBytes;
    if (message.updates)
        size += message.updates->size() * entryBytes;
    if (message.wanted)
        size += message.wanted->size() * entryBytes;
    ++messages;
    bytes += size;
    m_network.send(from, to, message, m_clock.now());
}

} // namespace hawthornslip::bench
