#pragma once

#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <utility>
#include <vector>

namespace hawthornslip::test {

/** What a FakeNetwork does to messages. */
struct LinkFaults
{
    double loss = 0;
    double duplicates = 0;
    Duration minDelay = milliseconds(1);
    /** A longer delay than the spacing of messages reorders them. */
    Duration maxDelay = milliseconds(3);
};

/** Carries messages between numbered nodes in simulated time; the same seed gives the same run. */
template <typename Message>
class FakeNetwork
{
public:
    using Receiver = std::function<void(std::size_t from, std::size_t to, const Message &message)>;
    using Blocked = std::function<bool(std::size_t from, std::size_t to)>;

    FakeNetwork(std::uint64_t seed, Receiver receiver)
        : m_random(seed)
        , m_receiver(std::move(receiver))
    {}

    LinkFaults faults;
    /** Cuts links in one direction while it returns true. */
    Blocked blocked;

    void send(std::size_t from, std::size_t to, const Message &message, TimePoint now)
    {
        if ((blocked && blocked(from, to)) || chance(faults.loss))
            return;
        enqueue(from, to, message, now);
        if (chance(faults.duplicates))
            enqueue(from, to, message, now);
    }

    /** Delivers all that is due at @p now. */
    void deliver(TimePoint now)
    {
        while (!m_queue.empty() && m_queue.top().at <= now) {
            const Delivery next = m_queue.top();
            m_queue.pop();
            m_receiver(next.from, next.to, next.message);
        }
    }

private:
    struct Delivery
    {
        TimePoint at;
        std::uint64_t order;
        std::size_t from;
        std::size_t to;
        Message message;

        bool operator<(const Delivery &other) const
        {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };

    bool chance(double probability)
    {
        return probability > 0 && std::bernoulli_distribution(probability)(m_random);
    }

    void enqueue(std::size_t from, std::size_t to, const Message &message, TimePoint now)
    {
        std::uniform_int_distribution<std::int64_t> delay(faults.minDelay.count(),
                                                          faults.maxDelay.count());
        m_queue.push({now + Duration(delay(m_random)), ++m_order, from, to, message});
    }

    std::mt19937_64 m_random;
    Receiver m_receiver;
    std::priority_queue<Delivery> m_queue;
    std::uint64_t m_order = 0;
};

} // namespace hawthornslip::test
