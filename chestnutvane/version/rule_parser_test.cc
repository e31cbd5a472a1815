#include "chestnutvane/version/rule_parser.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <fstream>
#include <sstream>

#include "chestnutvane/version/class_match.h"

namespace chestnutvane {
namespace {

std::string readExample(const std::string &name)
{
    std::ifstream file(std::string(CHESTNUTVANE_EXAMPLES) + "/" + name);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string allMistakes(const std::string &text)
{
    std::string all;
    const auto rules = parseRules(text);
    if (isOk(rules))
        return "none";
    for (const auto &mistake : error(rules))
        all += mistakeText(mistake) + "\n";
    return all;
}

// Guards against examples that operators copy and that are refused or lose rules.
TEST(RuleParserTest, ExamplesParse)
{
    for (const auto &[name, targets] : {std::pair("lumenwick.rules", 28U), {"liga.rules", 32U}}) {
        const std::string text = readExample(name);
        const auto rules = parseRules(text);
        ASSERT_TRUE(isOk(rules)) << allMistakes(text);
        EXPECT_EQ(value(rules).targets.size(), targets);
        EXPECT_EQ(value(rules).services.size(), 2U);
        EXPECT_EQ(value(rules).links.size(), 3U);
        EXPECT_EQ(value(rules).clients.size(), 5U);
    }
}

// Guards against a mistake that is accepted, hides a later one or is reported at another place.
// The rules of one line each are appended to valid ones, which have two lines.
TEST(RuleParserTest, ReportsEachMistakeAtItsPlace)
{
    const std::string base = "region a zones=z1 # asked by M\nservice s # asked by M\n";
    const std::string end = " # asked by M";
    const std::tuple<std::string, int, RuleMistakeKind> cases[] = {
            {"service t", 10, RuleMistakeKind::MissingComment},
            {"service t # for M", 11, RuleMistakeKind::MissingComment},
            {"route x" + end, 1, RuleMistakeKind::UnknownRule},
            {"service" + end, 1, RuleMistakeKind::MissingName},
            {"service t u" + end, 11, RuleMistakeKind::UnexpectedWord},
            {"service t x=1" + end, 11, RuleMistakeKind::UnknownKey},
            {"region b zones=y zones=x" + end, 18, RuleMistakeKind::DuplicateKey},
            {"region b" + end, 1, RuleMistakeKind::MissingKey},
            {"region b! zones=y" + end, 8, RuleMistakeKind::BadName},
            {"region b zones=y,z1" + end, 18, RuleMistakeKind::DuplicateName},
            {"service s" + end, 9, RuleMistakeKind::DuplicateName},
            {"cap region=a percent=101" + end, 22, RuleMistakeKind::BadNumber},
            {"cap region=a percent=nan" + end, 22, RuleMistakeKind::BadNumber},
            {"cap region=b percent=1" + end, 12, RuleMistakeKind::UnknownRegion},
            {"cap link=a:b percent=1" + end, 10, RuleMistakeKind::UnknownLink},
            {"cap shift=some percent=1" + end, 11, RuleMistakeKind::BadValue},
            {"drain target=t" + end, 14, RuleMistakeKind::UnknownTarget},
            {"drain zone=z2" + end, 12, RuleMistakeKind::UnknownZone},
            {"class c service=s path=x repeat=idempotent" + end, 24, RuleMistakeKind::BadPath},
            {"class c service=s path=/x/ repeat=idempotent" + end, 24, RuleMistakeKind::BadPath},
            {"class c service=s path=/ repeat=twice" + end, 33, RuleMistakeKind::BadValue},
            {"class c service=t path=/ repeat=idempotent" + end, 17,
             RuleMistakeKind::UnknownService},
            {"target t service=s zone=z1 address=::1:80 slots=1 connections=1" + end, 36,
             RuleMistakeKind::BadAddress},
            {"target t service=s zone=z2 address=[::1]:80 slots=1 connections=1" + end, 25,
             RuleMistakeKind::UnknownZone},
            {"clients 10.1.0.1/16 regions=a" + end, 9, RuleMistakeKind::BadBlock},
            {"clients 2001:db8::1/32 regions=a" + end, 9, RuleMistakeKind::BadBlock},
            {"clients ::/0 regions=a:0" + end, 24, RuleMistakeKind::BadNumber},
            {"move m service=s from=a to=a percent=1 cap-percent-per-minute=1" + end, 28,
             RuleMistakeKind::SameRegion},
            {"link a a capacity-mbps=1" + end, 8, RuleMistakeKind::SameRegion},
    };
    ASSERT_EQ(allMistakes(base), "none");
    std::string all = base;
    for (const auto &[line, column, kind] : cases) {
        const auto rules = parseRules(base + line);
        ASSERT_FALSE(isOk(rules)) << line;
        const auto &mistakes = error(rules);
        EXPECT_EQ(mistakes.size(), 1U) << line << "\n" << allMistakes(base + line);
        EXPECT_EQ(mistakes[0].kind, kind) << line << "\n" << mistakeText(mistakes[0]);
        EXPECT_EQ(mistakes[0].line, 3) << line;
        EXPECT_EQ(mistakes[0].column, column) << line;
        EXPECT_FALSE(mistakes[0].remedy.empty()) << line;
        all += line + "\n";
    }
    const auto rules = parseRules(all);
    ASSERT_FALSE(isOk(rules));
    EXPECT_GE(error(rules).size(), std::size(cases));
}

// Guards against a crash or an endless loop on any text that an operator may send.
RC_GTEST_PROP(RuleParserTest, AnyTextEndsWithAResult, (const std::string &noise, unsigned place))
{
    std::string text = readExample("lumenwick.rules");
    text.replace(place % text.size(), noise.size(), noise);
    const auto rules = parseRules(text);
    const bool decided = isOk(rules) || !error(rules).empty();
    RC_ASSERT(decided);
}

// Guards against a class chosen by a shorter prefix or across a segment boundary: the result must
// equal a scan of all classes for the longest prefix that ends where a segment does.
RC_GTEST_PROP(ClassMatchTest, EqualsScan, (const std::vector<std::uint8_t> &noise))
{
    const std::string paths[]
            = {"/", "/a", "/a/b", "/ab", "/a/b/c", "/a/bc", "/a//b/", "/ab/c", "/a?x", ""};
    std::vector<RequestClass> classes;
    for (std::size_t i = 0; i < 6; ++i) {
        if (i >= noise.size() || noise[i] % 2 == 0) {
            classes.emplace_back();
            classes.back().service = "s";
            classes.back().pathPrefix = paths[i];
        }
    }
    const ClassMatch match(classes);
    for (const auto &path : paths) {
        std::string longest;
        const std::string bare = path.substr(0, path.find('?'));
        for (const auto &candidate : classes) {
            const auto &prefix = candidate.pathPrefix;
            if ((prefix == "/" ? !bare.empty() : (bare + "/").starts_with(prefix + "/"))
                && prefix.size() > longest.size())
                longest = prefix;
        }
        const RequestClass *found = match.find("s", path);
        RC_ASSERT((found ? found->pathPrefix : "") == longest);
        RC_ASSERT(match.find("t", path) == nullptr);
    }
}

} // namespace
} // namespace chestnutvane
