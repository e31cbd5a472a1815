// The parsed form of one revision of the operators' rules: plain structs, one for each rule kind.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "chestnutvane/base/enum_names.h"
#include "chestnutvane/request/request_class.h"

namespace chestnutvane {

// "region taipei zones=tpe-a,tpe-b"
struct RegionRule
{
    std::string name;
    std::vector<std::string> zones;

    friend bool operator==(const RegionRule &, const RegionRule &) = default;
};

// "link taipei kaohsiung capacity-mbps=280": capacity each way between two regions.
struct LinkRule
{
    std::string from;
    std::string to;
    double capacityMbps = 0;

    friend bool operator==(const LinkRule &, const LinkRule &) = default;
};

// "service box-office"
struct ServiceRule
{
    std::string name;

    friend bool operator==(const ServiceRule &, const ServiceRule &) = default;
};

// "target bo-01 service=box-office zone=tpe-a address=127.0.1.1:9001 slots=3 connections=330"
struct TargetRule
{
    std::string name;
    std::string service;
    std::string zone;
    std::string address; // IP:port, IPv6 as [address]:port
    int slots = 1; // requests that the target runs at the same time
    int connections = 1; // open connections that the target accepts

    friend bool operator==(const TargetRule &, const TargetRule &) = default;
};

// A region with its share of the callers of a block.
struct WeightedRegion
{
    std::string region;
    int weight = 1;

    friend bool operator==(const WeightedRegion &, const WeightedRegion &) = default;
};

// "clients 10.1.0.0/16 regions=taipei:80,taichung:20"
struct ClientsRule
{
    std::string prefix; // IPv4 or IPv6 in CIDR form; 0.0.0.0/0 and ::/0 are the defaults
    std::vector<WeightedRegion> regions;

    friend bool operator==(const ClientsRule &, const ClientsRule &) = default;
};

// What a cap limits.
enum class CapKind {
    Region, // percent of the slots of a region that steering may fill
    Link, // percent of a link's capacity that steering may fill
    Shift, // percent of callers that all moves together may shift in a minute
};

inline constexpr EnumName<CapKind> capKindNames[] = {
        {CapKind::Region, "region"},
        {CapKind::Link, "link"},
        {CapKind::Shift, "shift"},
};

// "cap region=taipei percent=90", "cap link=taipei:kaohsiung percent=80", "cap shift=all
// percent=10"
struct CapRule
{
    CapKind kind = CapKind::Region;
    std::string subject;
    double percent = 100;

    friend bool operator==(const CapRule &, const CapRule &) = default;
};

// "move south service=box-office from=taipei to=kaohsiung percent=50 cap-percent-per-minute=10"
struct MoveRule
{
    std::string name;
    std::string service;
    std::string from;
    std::string to;
    double percent = 100; // share of the callers of "from" that end up in "to"
    double capPercentPerMinute = 10; // share of the callers of "from" that may shift in a minute

    friend bool operator==(const MoveRule &, const MoveRule &) = default;
};

// What a drain rule takes out of service.
enum class DrainKind {
    Target,
    Zone,
    Region,
};

inline constexpr EnumName<DrainKind> drainKindNames[] = {
        {DrainKind::Target, "target"},
        {DrainKind::Zone, "zone"},
        {DrainKind::Region, "region"},
};

// "drain target=bo-01", "drain zone=tpe-a", "drain region=taipei"
struct DrainRule
{
    DrainKind kind = DrainKind::Target;
    std::string subject;

    friend bool operator==(const DrainRule &, const DrainRule &) = default;
};

// All rules of one revision. Every rule line also names who asked for it, in its comment; the names
// are checked by the parser and stay in the text.
struct RuleSet
{
    std::vector<RegionRule> regions;
    std::vector<LinkRule> links;
    std::vector<ServiceRule> services;
    std::vector<RequestClass> classes;
    std::vector<TargetRule> targets;
    std::vector<ClientsRule> clients;
    std::vector<CapRule> caps;
    std::vector<MoveRule> moves;
    std::vector<DrainRule> drains;

    friend bool operator==(const RuleSet &, const RuleSet &) = default;
};

} // namespace chestnutvane
