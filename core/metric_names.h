#pragma once

#include <array>
#include <string_view>

/** Names, kinds and help texts of all metrics. */
namespace hawthornslip::metric {

inline constexpr std::string_view kRequests = "hawthornslip_requests_total";
inline constexpr std::string_view kRefusals = "hawthornslip_refusals_total";
inline constexpr std::string_view kRetries = "hawthornslip_retries_total";
inline constexpr std::string_view kHedges = "hawthornslip_hedges_total";
inline constexpr std::string_view kPreemptions = "hawthornslip_preemptions_total";
inline constexpr std::string_view kInvariantViolations = "hawthornslip_invariant_violations_total";
inline constexpr std::string_view kMismatchedAnswers = "hawthornslip_mismatched_answers_total";
inline constexpr std::string_view kTokens = "hawthornslip_tokens_total";
inline constexpr std::string_view kTimeToFirstToken = "hawthornslip_first_token_seconds";
inline constexpr std::string_view kQueueWait = "hawthornslip_queue_wait_seconds";
inline constexpr std::string_view kRequestDuration = "hawthornslip_request_seconds";
inline constexpr std::string_view kInFlight = "hawthornslip_requests_in_flight";
inline constexpr std::string_view kQueued = "hawthornslip_requests_queued";
inline constexpr std::string_view kMembers = "hawthornslip_members";
inline constexpr std::string_view kConfigGeneration = "hawthornslip_config_generation";
inline constexpr std::string_view kStoreCalls = "hawthornslip_store_calls_total";
inline constexpr std::string_view kPeerBytes = "hawthornslip_peer_bytes_total";
inline constexpr std::string_view kPeerMessages = "hawthornslip_peer_messages_total";
inline constexpr std::string_view kClaims = "hawthornslip_claims_total";
inline constexpr std::string_view kLeases = "hawthornslip_leases_total";
inline constexpr std::string_view kHeldBytes = "hawthornslip_held_bytes";
inline constexpr std::string_view kReclaims = "hawthornslip_reclaimed_connections_total";
inline constexpr std::string_view kCallerConnections =
        "hawthornslip_caller_connections_ended_total";
inline constexpr std::string_view kOrders = "hawthornslip_upstream_orders_total";
inline constexpr std::string_view kUsageReports = "hawthornslip_usage_reports_total";
inline constexpr std::string_view kUsagePending = "hawthornslip_usage_reports_pending";
inline constexpr std::string_view kCapacityOrders = "hawthornslip_capacity_orders_total";
inline constexpr std::string_view kUpstreamsDesired = "hawthornslip_upstreams_desired";
inline constexpr std::string_view kUpstreamsReady = "hawthornslip_upstreams_ready";

/** The kind of a metric. */
enum class Kind { Counter, Gauge, Histogram };

/** What a metric measures. */
struct Info
{
    std::string_view name;
    Kind kind;
    std::string_view help;
};

inline constexpr std::array<Info, 29> kAll = {{
        {kRequests, Kind::Counter, "Requests by profile, tier and result."},
        {kRefusals, Kind::Counter, "Refused or failed requests by reason and execution."},
        {kRetries, Kind::Counter, "Repeated attempts by profile and reason."},
        {kHedges, Kind::Counter, "Hedged attempts by profile and result."},
        {kPreemptions, Kind::Counter, "Streams cancelled for a higher tier, by profile."},
        {kInvariantViolations, Kind::Counter, "Violations of an invariant that the code checks."},
        {kMismatchedAnswers, Kind::Counter, "Answers dropped because of another request id."},
        {kTokens, Kind::Counter, "Tokens relayed or wasted, by profile and use."},
        {kTimeToFirstToken, Kind::Histogram,
         "Seconds from acceptance to the first token, by profile."},
        {kQueueWait, Kind::Histogram, "Seconds from asking for a grant to the grant, by profile."},
        {kRequestDuration, Kind::Histogram, "Seconds from acceptance to the end, by profile."},
        {kInFlight, Kind::Gauge, "Requests accepted and not yet answered."},
        {kQueued, Kind::Gauge, "Requests queued by this node as owner, by group and tier."},
        {kMembers, Kind::Gauge, "Nodes by state as this node sees them."},
        {kConfigGeneration, Kind::Gauge, "Generation of the configuration in force."},
        {kStoreCalls, Kind::Counter, "Calls to the object store by duty and result."},
        {kPeerBytes, Kind::Counter, "Bytes to and from other nodes by direction and kind."},
        {kPeerMessages, Kind::Counter, "Messages to and from other nodes by direction and kind."},
        {kClaims, Kind::Counter, "Claims of idempotency keys by verdict."},
        {kLeases, Kind::Counter, "Lease operations by lease and result."},
        {kHeldBytes, Kind::Gauge, "Bytes held for callers and upstreams."},
        {kReclaims, Kind::Counter, "Connections ended because the process held too many bytes."},
        {kCallerConnections, Kind::Counter,
         "Ended connections of callers by cause and by the request that was on them."},
        {kOrders, Kind::Counter, "Orders to upstreams by kind and result."},
        {kUsageReports, Kind::Counter, "Reports of usage to the provider by result."},
        {kUsagePending, Kind::Gauge, "Reports of usage that the provider has not accepted yet."},
        {kCapacityOrders, Kind::Counter, "Orders of upstreams from the provider by result."},
        {kUpstreamsDesired, Kind::Gauge,
         "Upstreams that the holder of the duty wants, by service, domain and sort."},
        {kUpstreamsReady, Kind::Gauge,
         "Upstreams that take requests, by service, domain and sort, at the holder."},
}};

} // namespace hawthornslip::metric
