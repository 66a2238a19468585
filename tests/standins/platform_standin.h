#pragma once

#include "core/interfaces/vm_list.h"
#include "tests/standins/crashable_host.h"
#include "tests/standins/versioned_store.h"

#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace hawthornslip::standin {

/** Faults of the platform. */
struct PlatformFaults
{
    /** How the object store fails while it is down. */
    enum class Down { No, Refuses, Cuts, Hangs };

    Down down = Down::No;
    /** Time added to each call. */
    Duration slow{0};
    /** Calls a second above which the store answers 429; 0 means no limit. */
    double readsPerSecond = 0;
    double writesPerSecond = 0;
    /** Number of writes whose answer is lost after they took effect. */
    int lostAnswers = 0;
    /** Key prefix that the lost answers are limited to. */
    std::string lostPrefix;
    /** Age of the VM list. */
    Duration listLag{0};
    /** The VM list does not answer. */
    bool listDown = false;
};

/** A stand-in for the platform: the object store and the VM list. */
class PlatformStandin
{
public:
    PlatformStandin();
    ~PlatformStandin();
    PlatformStandin(const PlatformStandin &) = delete;
    PlatformStandin &operator=(const PlatformStandin &) = delete;

    /** Opens the port. @return false when it cannot be opened. */
    bool start(std::uint16_t port = 0);
    void stop();

    void setFaults(const PlatformFaults &faults);
    PlatformFaults faults() const;

    /** Sets the VM list, which readers see after the list's lag. */
    void setVms(std::vector<VmEntry> vms);

    VersionedStore &store() { return m_store; }
    std::string url() const { return m_host.http().url(); }
    std::uint16_t port() const { return m_host.http().port(); }

    /** @return the calls so far by kind and first part of the key, such as `put claims`. */
    std::map<std::string, std::uint64_t> counters() const;

private:
    struct Bucket
    {
        double tokens = 1;
        TimePoint at{};
    };
    struct ListVersion
    {
        TimePoint at;
        std::vector<VmEntry> vms;
    };

    HttpReply handle(const HttpCall &call);
    HttpReply object(const HttpCall &call);
    HttpReply get(const HttpCall &call, const std::string &key);
    HttpReply put(const HttpCall &call, const std::string &key);
    HttpReply vms() const;
    HttpReply control(const HttpCall &call);
    HttpReply countersReply() const;
    void applyControl(const std::string &body);
    /** @return an answer that ends the call as the outage does, if there is one. */
    std::optional<HttpReply> outage(const HttpCall &call);
    bool takeRate(Bucket &bucket, double perSecond);
    bool takeLostAnswer(const std::string &key);
    void waitSlow();
    void abortAll();

    VersionedStore m_store;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    PlatformFaults m_faults;
    Bucket m_reads;
    Bucket m_writes;
    std::deque<ListVersion> m_lists;
    std::map<std::string, std::uint64_t> m_counters;
    bool m_aborted = false;
    CrashableHost m_host;
};

} // namespace hawthornslip::standin
