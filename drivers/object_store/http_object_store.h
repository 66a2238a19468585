#pragma once

#include "core/interfaces/metrics.h"
#include "core/interfaces/object_store.h"
#include "core/interfaces/upstream_client.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace hawthornslip {

/**
 * The platform's object store over HTTP, see docs/protocols.md.
 *
 * Unavailable is reported only when the call certainly had no effect: a read, a refused connection,
 * or a refusal by the store (503, 413). A write without a complete, understood answer is Unknown.
 * A watch that ends without a change answers NotFound when @c afterVersion was 0, otherwise the
 * version that was given, without the value.
 */
class HttpObjectStore : public ObjectStore
{
public:
    /**
     * @param client sends the calls; it has to outlive this object and all its calls.
     * @param baseUrl address of the store, `http://ip:port`.
     * @param timeout longest time of one call; a watch may wait longer by its own timeout.
     */
    HttpObjectStore(UpstreamClient &client, Metrics &metrics, std::string baseUrl,
                    Duration timeout);

    void get(const std::string &key, Callback done) override;
    void put(const std::string &key, const std::string &value, std::uint64_t expectedVersion,
             Callback done) override;
    void watch(const std::string &key, std::uint64_t afterVersion, Duration timeout,
               Callback done) override;

private:
    UpstreamRequest makeRequest(std::string method, const std::string &key) const;

    UpstreamClient &m_client;
    Metrics &m_metrics;
    std::string m_baseUrl;
    Duration m_timeout;
};

} // namespace hawthornslip
