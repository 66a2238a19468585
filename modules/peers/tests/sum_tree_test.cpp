#include "modules/peers/sum_tree.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>

namespace hawthornslip {

namespace {

std::vector<NodeId> nodesOfDomain(std::size_t count)
{
    std::vector<NodeId> nodes;
    for (std::size_t i = 0; i < count; ++i)
        nodes.emplace_back(fmt::format("10.2.0.{}:7000", i));
    return nodes;
}

const FailureDomain kSource("domain-1");

} // namespace

class SumTreeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SumTreeTest);
    CPPUNIT_TEST(eachNodeGetsEachCopyOnce);
    CPPUNIT_TEST(lostNodeCostsNoOtherNodeBothCopies);
    CPPUNIT_TEST(emptyDomainHasNoRoot);
    CPPUNIT_TEST(sumIsPassedOnOnce);
    CPPUNIT_TEST(restartedSenderIsPassedOn);
    CPPUNIT_TEST_SUITE_END();

public:
    void eachNodeGetsEachCopyOnce()
    {
        for (const std::size_t count : {1U, 2U, 3U, 23U, 100U}) {
            const auto nodes = nodesOfDomain(count);
            for (std::size_t copy = 0; copy < kSumCopies; ++copy) {
                const SumTree tree(kSource, copy, nodes);
                std::multiset<std::string> reached = {tree.root()->value};
                for (const auto &it : nodes) {
                    const auto children = tree.childrenOf(it);
                    CPPUNIT_ASSERT(children.size() <= kSumFanOut);
                    reached.insert(children.begin(), children.end());
                }
                CPPUNIT_ASSERT_EQUAL(count, reached.size());
                CPPUNIT_ASSERT_EQUAL(count,
                                     std::set<std::string>(reached.begin(), reached.end()).size());
            }
        }
    }

    // Guards against a domain's sum that is unknown at a part of the nodes while one node is lost
    // and still counts as heard.
    void lostNodeCostsNoOtherNodeBothCopies()
    {
        const auto nodes = nodesOfDomain(23);
        for (const auto &lost : nodes) {
            std::map<std::string, std::size_t> copies;
            for (std::size_t copy = 0; copy < kSumCopies; ++copy) {
                const SumTree tree(kSource, copy, nodes);
                count(tree, *tree.root(), lost, copies);
            }
            for (const auto &it : nodes)
                CPPUNIT_ASSERT(it == lost || copies[it.value] >= 1);
        }
    }

    void emptyDomainHasNoRoot()
    {
        const SumTree tree(kSource, 0, {});
        CPPUNIT_ASSERT(tree.root() == nullptr);
        CPPUNIT_ASSERT(tree.childrenOf(NodeId("10.2.0.1:7000")).empty());
    }

    // Guards against a sum that goes round for ever between nodes that disagree on who is heard.
    void sumIsPassedOnOnce()
    {
        SumHistory history;
        CPPUNIT_ASSERT(history.isNew(kSource, 0, 7, 3));
        CPPUNIT_ASSERT(!history.isNew(kSource, 0, 7, 3));
        CPPUNIT_ASSERT(!history.isNew(kSource, 0, 7, 2));
        CPPUNIT_ASSERT(history.isNew(kSource, 1, 7, 3));
        CPPUNIT_ASSERT(history.isNew(FailureDomain("domain-2"), 0, 7, 3));
        CPPUNIT_ASSERT(history.isNew(kSource, 0, 7, 4));
    }

    // Guards against the sums of a new sender that stop at the first node.
    void restartedSenderIsPassedOn()
    {
        SumHistory history;
        CPPUNIT_ASSERT(history.isNew(kSource, 0, 7, 300));
        CPPUNIT_ASSERT(history.isNew(kSource, 0, 8, 1));
    }

private:
    static void count(const SumTree &tree, const NodeId &node, const NodeId &lost,
                      std::map<std::string, std::size_t> &copies)
    {
        if (node == lost)
            return;
        ++copies[node.value];
        for (const auto &it : tree.childrenOf(node))
            count(tree, NodeId(it), lost, copies);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SumTreeTest);

} // namespace hawthornslip
