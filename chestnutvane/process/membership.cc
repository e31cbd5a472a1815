#include "chestnutvane/process/membership.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <tuple>

#include <nlohmann/json.hpp>

namespace chestnutvane {

namespace {

using Json = nlohmann::json;

constexpr std::size_t maxStringBytes = 256;
constexpr std::size_t maxListEntries = 4096;
constexpr std::size_t maxLearned = 4096;

// Thrown inside decodeHeartbeat() only.
struct FieldError
{
    std::string detail;
};

// Fields are written as arrays in a fixed order: names would be most of the bytes.
Json toJson(const MemberRecord &record)
{
    Json brokers = Json::array();
    for (const HeldUnit &unit : record.brokers)
        brokers.push_back(Json::array({unit.service, unit.region, unit.epoch}));
    Json headroom = Json::array();
    for (const UnitHeadroom &unit : record.headroom) {
        headroom.push_back(Json::array({unit.service, unit.region, unit.epoch, unit.freeSlots,
                                        unit.totalSlots, unit.queued, unit.age.count()}));
    }
    Json crashes = Json::array();
    for (const auto &[fingerprint, count] : record.crashCounts)
        crashes.push_back(Json::array({fingerprint, count}));
    Json moves = Json::array();
    for (const MoveReport &move : record.moves) {
        moves.push_back(
                Json::array({move.move, move.seenStep, move.seenProgress, move.adoptedStep}));
    }
    return Json::array(
            {record.id, record.incarnation, record.generation, record.sequence, record.zone,
             record.callerAddress, record.operatorAddress, record.peerAddress,
             enumName(memberStateNames, record.state), record.revision, std::move(brokers),
             std::move(headroom), std::move(crashes), std::move(moves),
             record.storeContactAge ? Json(record.storeContactAge->count()) : Json(), record.load});
}

// Reads the entries of an array one after the other.
class ArrayReader
{
public:
    ArrayReader(const Json &json, std::size_t size, const char *what) : json_(json), what_(what)
    {
        if (!json.is_array() || json.size() != size)
            fail("is not an array of the right size");
    }

    const Json &next() { return json_[index_++]; }

    std::string text()
    {
        const Json &entry = next();
        if (!entry.is_string() || entry.get_ref<const std::string &>().size() > maxStringBytes)
            fail("has an entry that is not a short string");
        return entry.get<std::string>();
    }

    template <class T>
    T number()
    {
        const Json &entry = next();
        if (!entry.is_number_unsigned()
            || entry.get<std::uint64_t>() > std::numeric_limits<T>::max())
            fail("has an entry that is not a non-negative integer in range");
        return static_cast<T>(entry.get<std::uint64_t>());
    }

    Milliseconds milliseconds() { return Milliseconds{number<std::uint32_t>()}; }

    double real()
    {
        const Json &entry = next();
        if (!entry.is_number())
            fail("has an entry that is not a number");
        const double real = entry.get<double>();
        if (!(real >= 0 && real <= 1e9))
            fail("has a number out of range");
        return real;
    }

    const Json &list()
    {
        const Json &entry = next();
        if (!entry.is_array() || entry.size() > maxListEntries)
            fail("has an entry that is not a bounded list");
        return entry;
    }

    [[noreturn]] void fail(const char *problem) const
    {
        throw FieldError{std::string("\"") + what_ + "\" " + problem};
    }

private:
    const Json &json_;
    const char *what_;
    std::size_t index_ = 0;
};

MemberRecord recordFromJson(const Json &json)
{
    ArrayReader reader(json, 16, "record");
    MemberRecord record;
    record.id = reader.text();
    record.incarnation = reader.text();
    record.generation = reader.number<std::uint64_t>();
    record.sequence = reader.number<std::uint64_t>();
    record.zone = reader.text();
    record.callerAddress = reader.text();
    record.operatorAddress = reader.text();
    record.peerAddress = reader.text();
    if (const auto state = enumFromName(memberStateNames, reader.text()))
        record.state = *state;
    else
        reader.fail("has an unknown state");
    if (record.id.empty() || record.incarnation.empty())
        reader.fail("has an empty id or incarnation");
    record.revision = reader.number<std::uint64_t>();
    for (const Json &entry : reader.list()) {
        ArrayReader unit(entry, 3, "broker");
        auto &held = record.brokers.emplace_back();
        held.service = unit.text();
        held.region = unit.text();
        held.epoch = unit.number<std::uint64_t>();
    }
    for (const Json &entry : reader.list()) {
        ArrayReader unit(entry, 7, "headroom");
        auto &headroom = record.headroom.emplace_back();
        headroom.service = unit.text();
        headroom.region = unit.text();
        headroom.epoch = unit.number<std::uint64_t>();
        headroom.freeSlots = unit.number<std::uint32_t>();
        headroom.totalSlots = unit.number<std::uint32_t>();
        headroom.queued = unit.number<std::uint32_t>();
        headroom.age = unit.milliseconds();
    }
    for (const Json &entry : reader.list()) {
        ArrayReader pair(entry, 2, "crash count");
        const auto fingerprint = pair.number<std::uint64_t>();
        record.crashCounts.emplace_back(fingerprint, pair.number<std::uint32_t>());
    }
    for (const Json &entry : reader.list()) {
        ArrayReader report(entry, 4, "move");
        auto &move = record.moves.emplace_back();
        move.move = report.text();
        move.seenStep = report.number<std::uint64_t>();
        move.seenProgress = report.real();
        move.adoptedStep = report.number<std::uint64_t>();
    }
    const Json &age = reader.next();
    if (age.is_number_unsigned() && age.get<std::uint64_t>() <= UINT32_MAX)
        record.storeContactAge = Milliseconds{age.get<std::uint32_t>()};
    else if (!age.is_null())
        reader.fail("has a store contact age that is not a time");
    record.load = reader.real();
    return record;
}

// The library reads nested arrays and nested chunked strings by recursion, so a small message could
// overflow the stack. A heartbeat nests five arrays and has no chunked string; the bytes that open
// one may occur within numbers and texts.
constexpr int maxDepth = 8;
constexpr std::ptrdiff_t maxChunkedStrings = 4096;

bool opensChunkedString(char c)
{
    return c == '\x7f' || c == '\x5f';
}

// Accepts everything but deep nesting.
class DepthCheck : public Json::json_sax_t
{
public:
    bool null() override { return true; }
    bool boolean(bool) override { return true; }
    bool number_integer(number_integer_t) override { return true; }
    bool number_unsigned(number_unsigned_t) override { return true; }
    bool number_float(number_float_t, const string_t &) override { return true; }
    bool string(string_t &) override { return true; }
    bool binary(binary_t &) override { return true; }
    bool start_object(std::size_t) override { return ++depth_ <= maxDepth; }
    bool key(string_t &) override { return true; }
    bool end_object() override { return --depth_ >= 0; }
    bool start_array(std::size_t) override { return ++depth_ <= maxDepth; }
    bool end_array() override { return --depth_ >= 0; }
    bool parse_error(std::size_t, const std::string &, const Json::exception &) override
    {
        return false;
    }

private:
    int depth_ = 0;
};

// Copies up to "count" entries in rotation, starting at "rotation", and moves it on.
template <class T>
std::vector<T> rotate(const std::vector<T> &entries, std::size_t count, std::size_t &rotation)
{
    std::vector<T> chosen;
    count = std::min(count, entries.size());
    chosen.reserve(count);
    for (std::size_t i = 0; i < count; ++i)
        chosen.push_back(entries[(rotation + i) % entries.size()]);
    rotation = entries.empty() ? 0 : (rotation + count) % entries.size();
    return chosen;
}

bool contains(const std::vector<std::string> &texts, const std::string &text)
{
    return std::find(texts.begin(), texts.end(), text) != texts.end();
}

} // namespace

std::string encodeHeartbeat(const Heartbeat &heartbeat)
{
    Json relayed = Json::array();
    for (const RelayedRecord &entry : heartbeat.relayed)
        relayed.push_back(Json::array({toJson(entry.record), entry.age.count()}));
    const Json json = Json::array(
            {toJson(heartbeat.sender), std::move(relayed), Json(heartbeat.knownAddresses)});
    std::string bytes;
    Json::to_cbor(json, bytes);
    return bytes;
}

Result<Heartbeat, HeartbeatError> decodeHeartbeat(std::string_view bytes)
{
    if (bytes.size() > maxHeartbeatBytes)
        return HeartbeatError{HeartbeatFailure::TooLarge, std::to_string(bytes.size()) + " bytes"};
    if (std::count_if(bytes.begin(), bytes.end(), opensChunkedString) > maxChunkedStrings)
        return HeartbeatError{HeartbeatFailure::NotCbor, "too many chunked strings"};
    DepthCheck depthCheck;
    if (!Json::sax_parse(bytes, &depthCheck, Json::input_format_t::cbor))
        return HeartbeatError{HeartbeatFailure::NotCbor,
                              "not a complete CBOR item, or nested too "
                              "deeply"};
    const Json json = Json::from_cbor(bytes, true, false);
    if (json.is_discarded())
        return HeartbeatError{HeartbeatFailure::NotCbor, "not a complete CBOR item"};
    try {
        ArrayReader reader(json, 3, "heartbeat");
        Heartbeat heartbeat;
        heartbeat.sender = recordFromJson(reader.next());
        for (const Json &entry : reader.list()) {
            ArrayReader relayed(entry, 2, "relayed");
            auto &record = heartbeat.relayed.emplace_back();
            record.record = recordFromJson(relayed.next());
            record.age = relayed.milliseconds();
        }
        for (const Json &entry : reader.list()) {
            if (!entry.is_string() || entry.get_ref<const std::string &>().size() > maxStringBytes)
                reader.fail("has an address that is not a short string");
            heartbeat.knownAddresses.push_back(entry.get<std::string>());
        }
        return heartbeat;
    } catch (const FieldError &error) {
        return HeartbeatError{HeartbeatFailure::BadField, error.detail};
    } catch (const Json::exception &error) {
        return HeartbeatError{HeartbeatFailure::BadField, error.what()};
    }
}

MembershipTable::MembershipTable(MemberRecord self, MembershipOptions options)
    : self_(std::move(self)), options_(options)
{ }

void MembershipTable::updateSelf(MemberRecord record)
{
    record.id = self_.id;
    record.incarnation = self_.incarnation;
    record.generation = self_.generation;
    record.sequence = self_.sequence + 1;
    if (self_.state == MemberState::Leaving)
        record.state = MemberState::Leaving;
    self_ = std::move(record);
}

void MembershipTable::addSeed(const std::string &peerAddress)
{
    if (!contains(seeds_, peerAddress))
        seeds_.push_back(peerAddress);
}

void MembershipTable::setPlatformSeeds(std::vector<std::string> peerAddresses)
{
    platformSeeds_ = std::move(peerAddresses);
}

bool MembershipTable::accept(const MemberRecord &record, TimePoint heardAt, bool direct,
                             ReceiveResult &result)
{
    if (record.id == self_.id) {
        // A peer remembers an earlier process with this id, which this one must supersede.
        if (record.incarnation != self_.incarnation && record.generation >= self_.generation) {
            self_.generation = record.generation + 1;
            ++self_.sequence;
            result.ownGenerationRaised = true;
        }
        return false;
    }
    const auto [entry, isNewId] = known_.try_emplace(record.id);
    Known &known = entry->second;
    const bool isSame = !isNewId && known.record.incarnation == record.incarnation;
    if (isNewId) {
        known.record = record;
    } else if (isSame) {
        if (record.sequence <= known.record.sequence)
            return false;
        const bool wasLeaving = known.record.state == MemberState::Leaving;
        known.record = record;
        if (wasLeaving)
            known.record.state = MemberState::Leaving;
    } else {
        if (std::tie(record.generation, record.incarnation)
            < std::tie(known.record.generation, known.record.incarnation)) {
            known.hasRival = known.hasRival || direct;
            return false;
        }
        known.record = record;
        known.markedGone = false;
        known.hasRival = false;
    }
    known.heardAt = isSame ? std::max(known.heardAt, heardAt) : heardAt;
    known.direct = direct;
    result.senderIsNew |= direct && !isSame;
    return true;
}

ReceiveResult MembershipTable::receive(const Heartbeat &heartbeat, TimePoint now)
{
    ReceiveResult result;
    result.senderAccepted = accept(heartbeat.sender, now, true, result);
    result.highestRevision = heartbeat.sender.revision;
    if (!result.senderAccepted)
        learn(heartbeat.sender.peerAddress);
    for (const RelayedRecord &relayed : heartbeat.relayed) {
        accept(relayed.record, now - relayed.age, false, result);
        result.highestRevision = std::max(result.highestRevision, relayed.record.revision);
    }
    for (const std::string &address : heartbeat.knownAddresses)
        learn(address);
    return result;
}

void MembershipTable::learn(const std::string &address)
{
    if (std::find(learned_.begin(), learned_.end(), address) != learned_.end())
        return;
    learned_.push_back(address);
    if (learned_.size() > maxLearned)
        learned_.pop_front();
}

void MembershipTable::markGone(const std::string &id, const std::string &incarnation, TimePoint now)
{
    const auto found = known_.find(id);
    if (found == known_.end() || found->second.record.incarnation != incarnation)
        return;
    found->second.markedGone = true;
    found->second.heardAt = std::max(found->second.heardAt, now - options_.goneAfter);
}

MemberStatus MembershipTable::statusAt(const Known &known, TimePoint now) const
{
    const auto silence = now - known.heardAt;
    if (known.markedGone || silence >= options_.goneAfter)
        return MemberStatus::Gone;
    if (known.record.state == MemberState::Leaving)
        return MemberStatus::Leaving;
    if (silence >= options_.silentAfter)
        return MemberStatus::Silent;
    return known.record.state == MemberState::Serving ? MemberStatus::Serving
                                                      : MemberStatus::Joining;
}

std::optional<MemberStatus> MembershipTable::statusOf(const std::string &id, TimePoint now) const
{
    if (const auto member = find(id, now))
        return member->status;
    return std::nullopt;
}

std::optional<Member> MembershipTable::find(const std::string &id, TimePoint now) const
{
    if (id == self_.id)
        return members(now).front();
    const auto found = known_.find(id);
    if (found == known_.end())
        return std::nullopt;
    const Known &known = found->second;
    return Member{known.record, statusAt(known, now), known.heardAt, known.direct};
}

std::vector<Member> MembershipTable::members(TimePoint now) const
{
    std::vector<Member> members;
    members.reserve(known_.size() + 1);
    members.push_back({self_, statusAt({self_, now, true, false, false}, now), now, true});
    for (const auto &[id, known] : known_)
        members.push_back({known.record, statusAt(known, now), known.heardAt, known.direct});
    return members;
}

std::vector<HeartbeatTarget> MembershipTable::heartbeatTargets(TimePoint now)
{
    std::erase_if(known_, [&](const auto &entry) {
        return now - entry.second.heardAt >= options_.goneAfter + options_.forgetAfter;
    });

    std::vector<HeartbeatTarget> targets;
    std::vector<HeartbeatTarget> others;
    std::vector<std::string> heard = {self_.peerAddress};
    for (const auto &[id, known] : known_) {
        if (statusAt(known, now) == MemberStatus::Gone)
            continue;
        heard.push_back(known.record.peerAddress);
        auto &list = known.record.zone == self_.zone ? targets : others;
        list.push_back({id, known.record.peerAddress});
    }
    for (HeartbeatTarget &target : rotate(others, options_.otherZonePeers, rotation_))
        targets.push_back(std::move(target));

    // A gone member's address is contacted again while a seed list names it: a cut-off that ends
    // must be noticed by both sides.
    std::sort(heard.begin(), heard.end());
    std::vector<std::string> unheard;
    const auto addUnheard = [&](const auto &addresses) {
        for (const std::string &address : addresses) {
            if (!std::binary_search(heard.begin(), heard.end(), address))
                unheard.push_back(address);
        }
    };
    addUnheard(seeds_);
    addUnheard(platformSeeds_);
    addUnheard(learned_);
    std::sort(unheard.begin(), unheard.end());
    unheard.erase(std::unique(unheard.begin(), unheard.end()), unheard.end());
    for (std::string &address : rotate(unheard, options_.maxUnheardPerPeriod, unheardRotation_))
        targets.push_back({{}, std::move(address)});
    return targets;
}

Heartbeat MembershipTable::makeHeartbeat(const HeartbeatTarget &target, TimePoint now)
{
    Heartbeat heartbeat;
    heartbeat.sender = self_;
    std::vector<const Known *> live;
    std::vector<std::string> addresses;
    const auto targetMember = known_.find(target.id);
    const auto others = std::count_if(known_.begin(), known_.end(), [&](const auto &entry) {
        return entry.second.record.zone != self_.zone;
    });
    const bool relays = static_cast<std::size_t>(others) > options_.otherZonePeers;
    for (const auto &[id, known] : known_) {
        const MemberStatus status = statusAt(known, now);
        if (status == MemberStatus::Gone || id == target.id)
            continue;
        addresses.push_back(known.record.peerAddress);
        const bool isOfTargetZone = targetMember != known_.end()
                && targetMember->second.record.zone == known.record.zone;
        if (relays && status != MemberStatus::Silent && known.direct && !isOfTargetZone)
            live.push_back(&known);
    }
    for (const Known *known : rotate(live, options_.maxRelayed, relayRotation_)) {
        // Rounded up, so that passing a record on many times never makes it younger.
        heartbeat.relayed.push_back(
                {known->record, std::chrono::ceil<Milliseconds>(now - known->heardAt)});
    }
    heartbeat.knownAddresses = rotate(addresses, options_.maxKnownAddresses, addressRotation_);

    // A process whose record was refused learns which generation it has to supersede.
    for (const auto &[id, known] : known_) {
        if (known.hasRival && (target.id == id || target.id.empty())) {
            heartbeat.relayed.push_back(
                    {known.record, std::chrono::ceil<Milliseconds>(now - known.heardAt)});
        }
    }
    return heartbeat;
}

} // namespace chestnutvane
