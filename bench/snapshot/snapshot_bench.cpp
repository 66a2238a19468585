#include "servers/config/config_snapshot.h"

#include <fmt/format.h>
#include <urcu/urcu-bp.h>
#include <urcu/urcu-memb.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdlib>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace hawthornslip::bench {

namespace {

using Config = std::shared_ptr<const SharedConfig>;

constexpr auto kWriterInterval = std::chrono::milliseconds(1);

Config makeConfig(std::uint64_t generation)
{
    auto config = std::make_shared<SharedConfig>();
    config->generation = generation;
    config->profiles.resize(8);
    return config;
}

/** One way to hand a snapshot from a writer to readers. */
class Holder
{
public:
    virtual ~Holder() = default;
    virtual void set(Config config) = 0;
    /** Reads one value of the snapshot in force, as a request does. */
    virtual std::uint64_t read() const = 0;
    virtual void enterThread() {}
    virtual void leaveThread() {}
};

class MutexHolder : public Holder
{
public:
    void set(Config config) override
    {
        const std::lock_guard lock(m_mutex);
        m_config = std::move(config);
    }
    std::uint64_t read() const override
    {
        Config config;
        {
            const std::lock_guard lock(m_mutex);
            config = m_config;
        }
        return config->generation;
    }

private:
    mutable std::mutex m_mutex;
    Config m_config;
};

class AtomicHolder : public Holder
{
public:
    void set(Config config) override { m_config.store(std::move(config)); }
    std::uint64_t read() const override { return m_config.load()->generation; }

private:
    std::atomic<Config> m_config;
};

class PerThreadHolder : public Holder
{
public:
    void set(Config config) override { m_snapshot.set(std::move(config)); }
    std::uint64_t read() const override { return m_snapshot.get()->generation; }

private:
    ConfigSnapshot m_snapshot;
};

/**
 * A pointer guarded by liburcu. A reader must not use it after its critical section, so one that
 * keeps the snapshot for a whole request has to copy the shared reference inside.
 */
template <typename Flavour, bool keep>
class UrcuHolder : public Holder
{
public:
    ~UrcuHolder() override { delete m_config.load(); }
    UrcuHolder() = default;
    UrcuHolder(const UrcuHolder &) = delete;
    UrcuHolder &operator=(const UrcuHolder &) = delete;

    void set(Config config) override
    {
        const Config *old = m_config.exchange(new Config(std::move(config)));
        Flavour::synchronize();
        delete old;
    }
    std::uint64_t read() const override
    {
        Flavour::lock();
        const Config &config = *m_config.load(std::memory_order_acquire);
        if constexpr (keep) {
            const Config kept = config;
            Flavour::unlock();
            return kept->generation;
        } else {
            const std::uint64_t generation = config->generation;
            Flavour::unlock();
            return generation;
        }
    }
    void enterThread() override { Flavour::enter(); }
    void leaveThread() override { Flavour::leave(); }

private:
    std::atomic<const Config *> m_config{nullptr};
};

struct MembFlavour
{
    static void lock() { urcu_memb_read_lock(); }
    static void unlock() { urcu_memb_read_unlock(); }
    static void synchronize() { urcu_memb_synchronize_rcu(); }
    static void enter() { urcu_memb_register_thread(); }
    static void leave() { urcu_memb_unregister_thread(); }
};

struct BpFlavour
{
    static void lock() { urcu_bp_read_lock(); }
    static void unlock() { urcu_bp_read_unlock(); }
    static void synchronize() { urcu_bp_synchronize_rcu(); }
    static void enter() {}
    static void leave() {}
};

/** @return nanoseconds a read, as the threads see it. */
double measure(Holder &holder, int threads, bool writing, std::chrono::milliseconds span)
{
    std::atomic<bool> stop{false};
    std::atomic<std::uint64_t> reads{0};
    std::atomic<std::uint64_t> checksum{0};
    holder.set(makeConfig(1));
    std::vector<std::thread> readers;
    for (int i = 0; i < threads; ++i) {
        readers.emplace_back([&] {
            constexpr int kBatch = 256;
            holder.enterThread();
            std::uint64_t n = 0;
            std::uint64_t sum = 0;
            while (!stop.load(std::memory_order_relaxed)) {
                for (int k = 0; k < kBatch; ++k)
                    sum += holder.read();
                n += kBatch;
            }
            holder.leaveThread();
            reads += n;
            checksum += sum;
        });
    }
    const auto end = std::chrono::steady_clock::now() + span;
    std::uint64_t generation = 1;
    while (std::chrono::steady_clock::now() < end) {
        if (writing)
            holder.set(makeConfig(++generation));
        std::this_thread::sleep_for(kWriterInterval);
    }
    stop = true;
    for (auto &it : readers)
        it.join();
    const double nanoseconds = std::chrono::duration<double, std::nano>(span).count();
    return checksum.load() == 0 ? -1 : nanoseconds * threads / static_cast<double>(reads.load());
}

struct Way
{
    const char *name;
    std::function<std::unique_ptr<Holder>()> make;
};

} // namespace

} // namespace hawthornslip::bench

/** Compares ways to read a snapshot; arguments: milliseconds a run, number of rounds. */
int main(int argc, char **argv)
{
    using namespace hawthornslip::bench; // NOLINT(google-build-using-namespace)
    const std::chrono::milliseconds span(argc > 1 ? std::atoi(argv[1]) : 200);
    const int rounds = argc > 2 ? std::atoi(argv[2]) : 3;
    const std::vector<Way> ways = {
            {"mutex and std::shared_ptr", [] { return std::make_unique<MutexHolder>(); }},
            {"std::atomic<std::shared_ptr>", [] { return std::make_unique<AtomicHolder>(); }},
            {"liburcu memb, not kept",
             [] { return std::make_unique<UrcuHolder<MembFlavour, false>>(); }},
            {"liburcu bp, not kept",
             [] { return std::make_unique<UrcuHolder<BpFlavour, false>>(); }},
            {"liburcu memb, kept",
             [] { return std::make_unique<UrcuHolder<MembFlavour, true>>(); }},
            {"per thread, with a version", [] { return std::make_unique<PerThreadHolder>(); }}};
    fmt::print("| way | threads | writer | ns a read, median | least | most |\n"
               "|---|---|---|---|---|---|\n");
    for (const int threads : {1, 2, 4, 8}) {
        for (const bool writing : {false, true}) {
            // The ways take turns, so that load on the machine meets all of them.
            std::vector<std::vector<double>> samples(ways.size());
            for (int round = 0; round < rounds; ++round) {
                for (std::size_t i = 0; i < ways.size(); ++i)
                    samples[i].push_back(measure(*ways[i].make(), threads, writing, span));
            }
            for (std::size_t i = 0; i < ways.size(); ++i) {
                auto &it = samples[i];
                std::sort(it.begin(), it.end());
                fmt::print("| {} | {} | {} | {:.1f} | {:.1f} | {:.1f} |\n", ways[i].name, threads,
                           writing ? "1000/s" : "none", it[it.size() / 2], it.front(), it.back());
            }
        }
    }
    return 0;
}
