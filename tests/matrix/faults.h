#pragma once

#include "core/enum_names.h"
#include "tests/matrix/matrix_cluster.h"

namespace hawthornslip::matrix {

/** The rows of the fault matrix. */
enum class Fault {
    NodeCrash,
    NodePause,
    NodeRestart,
    UpstreamCrash,
    Straggler,
    UpstreamLeaving,
    ConnectionReset,
    LateOrCrossed,
    StoreDown,
    StoreSlow,
    StoreAnswerLost,
    LeaseLapsed,
    Messages,
    OneWayPartition,
    OperatorsRace,
    StaleVmList
};

inline constexpr EnumNames<Fault, 16> kFaultNames = {{
        {Fault::NodeCrash, "node crash"},
        {Fault::NodePause, "node pause and resume"},
        {Fault::NodeRestart, "node restart"},
        {Fault::UpstreamCrash, "upstream crash"},
        {Fault::Straggler, "straggler"},
        {Fault::UpstreamLeaving, "upstream leaving"},
        {Fault::ConnectionReset, "connection reset"},
        {Fault::LateOrCrossed, "late or crossed answer"},
        {Fault::StoreDown, "store down"},
        {Fault::StoreSlow, "store slow"},
        {Fault::StoreAnswerLost, "store answer lost"},
        {Fault::LeaseLapsed, "lease lapsed while paused"},
        {Fault::Messages, "messages lost, doubled, delayed"},
        {Fault::OneWayPartition, "one-way partition"},
        {Fault::OperatorsRace, "operators racing"},
        {Fault::StaleVmList, "stale VM list"},
}};

/** Makes faults happen in a cluster and takes them back after their time. */
class FaultInjector
{
public:
    explicit FaultInjector(MatrixCluster &cluster)
        : m_cluster(cluster)
    {}

    /** Makes @p fault happen now, to node @p node or to upstream @p engine. */
    void strike(Fault fault, int node, int engine);

    /** Takes back every fault that is still there; crashed nodes are started again. */
    void heal();

private:
    void race();
    void later(Duration span, std::function<void()> task);

    MatrixCluster &m_cluster;
};

} // namespace hawthornslip::matrix
