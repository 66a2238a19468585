#include "modules/config/config_adopter.h"
#include "modules/config/config_document.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hawthornslip {

namespace {

std::string documentOf(std::uint64_t generation)
{
    SharedConfig config;
    config.generation = generation;
    return ConfigDocument::toText(config);
}

template <typename Action>
const Action *findAction(const config::Actions &actions)
{
    for (const auto &it : actions) {
        if (const auto *found = std::get_if<Action>(&it))
            return found;
    }
    return nullptr;
}

} // namespace

class ConfigAdopterTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfigAdopterTest);
    CPPUNIT_TEST(generationNeverDecreases);
    CPPUNIT_TEST(refusesFaultyDocumentOnce);
    CPPUNIT_TEST(faultyDocumentDoesNotBlockOthers);
    CPPUNIT_TEST(pullsFromPeerWithHigherGeneration);
    CPPUNIT_TEST(limitsPushesToPeerWithLowerGeneration);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a delayed document that replaces a newer configuration (invariant I8).
    void generationNeverDecreases()
    {
        ConfigAdopter adopter;
        for (const std::uint64_t generation : {3, 1, 5, 4, 5, 2, 6}) {
            const auto before = adopter.generation();
            const auto actions =
                    adopter.handle(config::DocumentReceived{documentOf(generation), false}, m_now);
            CPPUNIT_ASSERT_EQUAL(std::max(before, generation), adopter.generation());
            CPPUNIT_ASSERT_EQUAL(generation > before,
                                 findAction<config::Adopt>(actions) != nullptr);
        }
    }

    // Guards against adopting a document with faults, and against pulling it again.
    void refusesFaultyDocumentOnce()
    {
        ConfigAdopter adopter;
        const std::string faulty = R"({"schema_version":1,"generation":9,"profils":[]})";
        const auto first = adopter.handle(config::DocumentReceived{faulty, false}, m_now);
        CPPUNIT_ASSERT(findAction<config::Refused>(first) != nullptr);
        CPPUNIT_ASSERT(adopter.handle(config::DocumentReceived{faulty, false}, m_now).empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, adopter.generation());
        CPPUNIT_ASSERT(adopter.handle(config::GenerationSeen{NodeId("a:1"), 9}, m_now).empty());
    }

    // Guards against a faulty document with a very high generation that blocks later changes.
    void faultyDocumentDoesNotBlockOthers()
    {
        ConfigAdopter adopter;
        const std::string faulty = R"({"schema_version":1,"generation":900000,"profils":[]})";
        adopter.handle(config::DocumentReceived{faulty, false}, m_now);
        CPPUNIT_ASSERT(findAction<config::SendPull>(adopter.handle(
                               config::GenerationSeen{NodeId("a:1"), 10}, m_now)) != nullptr);
        adopter.handle(config::DocumentReceived{documentOf(10), false}, m_now);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, adopter.generation());
    }

    // Guards against a pull for each message of a peer, and against a lost pull that is not
    // repeated.
    void pullsFromPeerWithHigherGeneration()
    {
        ConfigAdopter adopter;
        const config::GenerationSeen seen{NodeId("a:1"), 4};
        CPPUNIT_ASSERT(findAction<config::SendPull>(adopter.handle(seen, m_now)) != nullptr);
        CPPUNIT_ASSERT(adopter.handle(seen, m_now).empty());
        CPPUNIT_ASSERT(findAction<config::SendPull>(
                               adopter.handle(seen, m_now + milliseconds(400))) != nullptr);
        const config::GenerationSeen higher{NodeId("b:1"), 5};
        const auto actions = adopter.handle(higher, m_now + milliseconds(410));
        CPPUNIT_ASSERT(findAction<config::SendPull>(actions) != nullptr);
    }

    // Guards against a peer whose repeated pulls make this node send the document without limit.
    void limitsPushesToPeerWithLowerGeneration()
    {
        ConfigAdopter adopter;
        adopter.handle(config::DocumentReceived{documentOf(2), false}, m_now);
        const config::PullReceived pull{NodeId("a:1"), 1};
        CPPUNIT_ASSERT(findAction<config::SendPush>(adopter.handle(pull, m_now)) != nullptr);
        CPPUNIT_ASSERT(adopter.handle(pull, m_now).empty());
        CPPUNIT_ASSERT(!adopter.handle(pull, m_now + milliseconds(300)).empty());
        CPPUNIT_ASSERT(adopter.handle(config::PullReceived{NodeId("b:1"), 2}, m_now).empty());
    }

private:
    TimePoint m_now{seconds(100)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigAdopterTest);

} // namespace hawthornslip
