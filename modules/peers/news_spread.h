#pragma once

namespace hawthornslip {

/** Where news comes from, as far as it decides who passes it on. */
enum class NewsOrigin {
    /** This node saw it. */
    Self,
    /** A node of the same failure domain reported it. */
    OwnDomain,
    /** A summary of another failure domain contained it. */
    OtherDomain,
};

/** How often a piece of news still has to be told. */
class NewsSpread
{
public:
    explicit NewsSpread(NewsOrigin origin = NewsOrigin::Self)
        : m_origin(origin)
    {}

    /** @return true when it belongs into the next report of this node. */
    bool isDueInReport() const { return m_origin == NewsOrigin::Self && m_reports < kSends; }
    /** @return true when it belongs into the next summary of this failure domain. */
    bool isDueInSummary() const
    {
        return m_origin != NewsOrigin::OtherDomain && m_summaries < kSends;
    }
    /** @return true when no peer was told yet. */
    bool isNew() const { return m_origin == NewsOrigin::Self && m_reports == 0; }

    void countReport() { ++m_reports; }
    void countSummary() { ++m_summaries; }

private:
    // Losing two datagrams in a row is rare.
    static constexpr int kSends = 2;

    NewsOrigin m_origin;
    int m_reports = 0;
    int m_summaries = 0;
};

} // namespace hawthornslip
