#include "chestnutvane/process/membership.h"

#include <algorithm>
#include <cstdint>
#include <limits>

#include <nlohmann/json.hpp>

namespace chestnutvane {
namespace {

using Json = nlohmann::json;

constexpr std::size_t maxStringBytes = 256;
constexpr std::size_t maxListEntries = 4096;
constexpr std::size_t pulseFields = 7; // a record has more

// Thrown and caught within decodeHeartbeat() only.
struct FieldError
{
    std::string detail;
};

Json ageJson(const std::optional<Milliseconds> &age)
{
    return age ? Json(age->count()) : Json();
}

// Encodes fields as arrays in a fixed order, because field names would make up most of the bytes.
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
    for (const CrashCount &count : record.crashCounts) {
        const auto age = std::chrono::duration_cast<Milliseconds>(count.age);
        crashes.push_back(Json::array({count.countedBy.high, count.countedBy.low, count.region,
                                       count.fingerprint, count.crashes, count.cleared, age.count(),
                                       count.generation}));
    }
    Json moves = Json::array();
    for (const MoveReport &move : record.moves) {
        moves.push_back(
                Json::array({move.move, move.seenStep, move.seenProgress, move.adoptedStep}));
    }
    Json links = Json::array();
    for (const LinkRate &rate : record.linkRates)
        links.push_back(Json::array({rate.from, rate.to, rate.kbps}));
    return Json::array({record.id, record.incarnation, record.generation, record.sequence,
                        record.zone, record.callerAddress, record.operatorAddress,
                        record.peerAddress, enumName(memberStateNames, record.state),
                        record.revision, std::move(brokers), std::move(headroom),
                        std::move(crashes), std::move(moves), ageJson(record.storeContactAge),
                        record.load, record.keyWindow, std::move(links)});
}

Json toJson(const MemberPulse &pulse)
{
    return Json::array({pulse.id, pulse.key, pulse.sequence, static_cast<unsigned>(pulse.state),
                        pulse.revision, ageJson(pulse.storeContactAge), pulse.memberCount});
}

// Reads the entries of an array in order. Throws FieldError on an unexpected type or value.
class ArrayReader
{
public:
    ArrayReader(const Json &json, std::size_t size, const char *what) : json_(json), what_(what)
    {
        if (!json.is_array() || json.size() != size)
            fail("is not an array of " + std::to_string(size) + " entries");
    }

    const Json &next() { return json_[index_++]; }

    std::string text()
    {
        const Json &entry = next();
        if (!entry.is_string() || entry.get_ref<const std::string &>().size() > maxStringBytes)
            fail("has a non-string entry or one over " + std::to_string(maxStringBytes) + " bytes");
        return entry.get<std::string>();
    }

    template <class T>
    T number()
    {
        const Json &entry = next();
        if (!entry.is_number_unsigned()
            || entry.get<std::uint64_t>() > std::numeric_limits<T>::max())
            fail("has a non-integer or one not in 0.."
                 + std::to_string(std::numeric_limits<T>::max()));
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
            fail("has a number outside of the range 0 to 1e9");
        return real;
    }

    std::optional<Milliseconds> optionalAge()
    {
        const Json &age = next();
        if (age.is_null())
            return std::nullopt;
        if (!age.is_number_unsigned() || age.get<std::uint64_t>() > UINT32_MAX)
            fail("has a store contact age that is not an integer from 0 to 2^32-1 (ms)");
        return Milliseconds{age.get<std::uint32_t>()};
    }

    // Reads an enumerator that is encoded as its number.
    template <class E>
    E enumerator(E last)
    {
        const auto number = this->number<std::uint8_t>();
        if (number > static_cast<std::uint8_t>(last))
            fail("has the unknown state number " + std::to_string(number));
        return static_cast<E>(number);
    }

    const Json &list()
    {
        const Json &entry = next();
        if (!entry.is_array() || entry.size() > maxListEntries)
            fail("has an entry that is not a list of at most " + std::to_string(maxListEntries));
        return entry;
    }

    [[noreturn]] void fail(const std::string &problem) const
    {
        throw FieldError{std::string("\"") + what_ + "\" " + problem};
    }

private:
    const Json &json_;
    const char *what_;
    std::size_t index_ = 0;
};

// Decodes each entry of a list from ArrayReader::list().
template <class T>
std::vector<T> listFromJson(const Json &list, T (*fromJson)(const Json &))
{
    std::vector<T> entries;
    for (const Json &entry : list)
        entries.push_back(fromJson(entry));
    return entries;
}

HeldUnit heldUnitFromJson(const Json &json)
{
    ArrayReader reader(json, 3, "broker");
    HeldUnit held;
    held.service = reader.text();
    held.region = reader.text();
    held.epoch = reader.number<std::uint64_t>();
    return held;
}

UnitHeadroom headroomFromJson(const Json &json)
{
    ArrayReader reader(json, 7, "headroom");
    UnitHeadroom headroom;
    headroom.service = reader.text();
    headroom.region = reader.text();
    headroom.epoch = reader.number<std::uint64_t>();
    headroom.freeSlots = reader.number<std::uint32_t>();
    headroom.totalSlots = reader.number<std::uint32_t>();
    headroom.queued = reader.number<std::uint32_t>();
    headroom.age = reader.milliseconds();
    return headroom;
}

CrashCount crashCountFromJson(const Json &json)
{
    ArrayReader reader(json, 8, "crash count");
    CrashCount count;
    count.countedBy.high = reader.number<std::uint64_t>();
    count.countedBy.low = reader.number<std::uint64_t>();
    count.region = reader.text();
    count.fingerprint = reader.number<std::uint64_t>();
    count.crashes = reader.number<std::uint32_t>();
    count.cleared = reader.number<std::uint32_t>();
    count.age = reader.milliseconds();
    count.generation = reader.number<std::uint32_t>();
    return count;
}

MoveReport moveFromJson(const Json &json)
{
    ArrayReader reader(json, 4, "move");
    MoveReport move;
    move.move = reader.text();
    move.seenStep = reader.number<std::uint64_t>();
    move.seenProgress = reader.real();
    move.adoptedStep = reader.number<std::uint64_t>();
    return move;
}

LinkRate linkRateFromJson(const Json &json)
{
    ArrayReader reader(json, 3, "link rate");
    LinkRate rate;
    rate.from = reader.text();
    rate.to = reader.text();
    rate.kbps = reader.number<std::uint32_t>();
    return rate;
}

MemberRecord recordFromJson(const Json &json)
{
    ArrayReader reader(json, 18, "record");
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
        reader.fail("has an unknown state name");
    if (record.id.empty() || record.incarnation.empty())
        reader.fail("has an empty id or incarnation");
    record.revision = reader.number<std::uint64_t>();
    record.brokers = listFromJson(reader.list(), heldUnitFromJson);
    record.headroom = listFromJson(reader.list(), headroomFromJson);
    record.crashCounts = listFromJson(reader.list(), crashCountFromJson);
    record.moves = listFromJson(reader.list(), moveFromJson);
    record.storeContactAge = reader.optionalAge();
    record.load = reader.real();
    record.keyWindow = reader.number<std::uint64_t>();
    record.linkRates = listFromJson(reader.list(), linkRateFromJson);
    return record;
}

MemberPulse pulseFromJson(const Json &json)
{
    ArrayReader reader(json, pulseFields, "pulse");
    MemberPulse pulse;
    pulse.id = reader.text();
    pulse.key = reader.number<std::uint64_t>();
    pulse.sequence = reader.number<std::uint64_t>();
    pulse.state = reader.enumerator(MemberState::Leaving);
    pulse.revision = reader.number<std::uint64_t>();
    pulse.storeContactAge = reader.optionalAge();
    pulse.memberCount = reader.number<std::uint64_t>();
    return pulse;
}

// The library parses nested arrays and chunked strings recursively, so a small message could
// overflow the stack. A heartbeat has five levels of arrays and no chunked strings. The bytes that
// start a chunked string may occur within numbers and texts, so the bound for them is not 0.
constexpr int maxNestingDepth = 8;
constexpr std::ptrdiff_t maxChunkedStrings = 4096;

bool startsChunkedString(char c)
{
    return c == '\x7f' || c == '\x5f';
}

// Accepts all input that is not nested deeper than maxNestingDepth.
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
    bool start_object(std::size_t) override { return ++depth_ <= maxNestingDepth; }
    bool key(string_t &) override { return true; }
    bool end_object() override { return --depth_ >= 0; }
    bool start_array(std::size_t) override { return ++depth_ <= maxNestingDepth; }
    bool end_array() override { return --depth_ >= 0; }
    bool parse_error(std::size_t, const std::string &, const Json::exception &) override
    {
        return false;
    }

private:
    int depth_ = 0;
};

RelayedRecord relayedFromJson(const Json &json)
{
    ArrayReader reader(json, 2, "relayed");
    RelayedRecord relayed;
    relayed.record = recordFromJson(reader.next());
    relayed.age = reader.milliseconds();
    return relayed;
}

MemberEvent eventFromJson(const Json &json)
{
    ArrayReader reader(json, 4, "event");
    MemberEvent event;
    event.key = reader.number<std::uint64_t>();
    event.sequence = reader.number<std::uint64_t>();
    event.reportedState = reader.enumerator(ReportedState::Silent);
    event.revision = reader.number<std::uint64_t>();
    return event;
}

bool isShortString(const Json &json)
{
    return json.is_string() && json.get_ref<const std::string &>().size() <= maxStringBytes;
}

// Throws FieldError.
Heartbeat heartbeatFromJson(const Json &json)
{
    ArrayReader reader(json, 6, "heartbeat");
    Heartbeat heartbeat;
    if (const Json &sender = reader.next(); sender.is_array() && sender.size() == pulseFields)
        heartbeat.pulse = pulseFromJson(sender);
    else
        heartbeat.sender = recordFromJson(sender);
    heartbeat.relayed = listFromJson(reader.list(), relayedFromJson);
    for (const Json &entry : reader.list()) {
        if (!isShortString(entry))
            reader.fail("has an address that is not a string or too long");
        heartbeat.knownAddresses.push_back(entry.get<std::string>());
    }
    heartbeat.events = listFromJson(reader.list(), eventFromJson);
    const Json &wantsRecord = reader.next();
    if (!wantsRecord.is_boolean())
        reader.fail("has a record request flag that is not a boolean");
    heartbeat.wantsRecord = wantsRecord.get<bool>();
    const Json &syncAfter = reader.next();
    if (isShortString(syncAfter))
        heartbeat.syncAfter = syncAfter.get<std::string>();
    else if (!syncAfter.is_null())
        reader.fail("has a sync id that is not null or a string, or too long");
    return heartbeat;
}

} // namespace

std::string encodeHeartbeat(const Heartbeat &heartbeat)
{
    Json relayed = Json::array();
    for (const RelayedRecord &entry : heartbeat.relayed)
        relayed.push_back(Json::array({toJson(entry.record), entry.age.count()}));
    Json events = Json::array();
    for (const MemberEvent &event : heartbeat.events) {
        events.push_back(Json::array({event.key, event.sequence,
                                      static_cast<unsigned>(event.reportedState), event.revision}));
    }
    const Json json = Json::array(
            {heartbeat.pulse ? toJson(*heartbeat.pulse) : toJson(heartbeat.sender),
             std::move(relayed), Json(heartbeat.knownAddresses), std::move(events),
             heartbeat.wantsRecord, heartbeat.syncAfter ? Json(*heartbeat.syncAfter) : Json()});
    std::string bytes;
    Json::to_cbor(json, bytes);
    return bytes;
}

Result<Heartbeat, HeartbeatError> decodeHeartbeat(std::string_view bytes)
{
    if (bytes.size() > maxHeartbeatBytes)
        return HeartbeatError{HeartbeatFailure::TooLarge,
                              std::to_string(bytes.size()) + " bytes, limit 1 MiB"};
    if (std::count_if(bytes.begin(), bytes.end(), startsChunkedString) > maxChunkedStrings)
        return HeartbeatError{HeartbeatFailure::NotCbor, "over 4096 possible chunked strings"};
    DepthCheck depthCheck;
    if (!Json::sax_parse(bytes, &depthCheck, Json::input_format_t::cbor))
        return HeartbeatError{HeartbeatFailure::NotCbor,
                              "not one complete CBOR item, or nested more than 8 levels deep"};
    const Json json = Json::from_cbor(bytes, true, false);
    if (json.is_discarded())
        return HeartbeatError{HeartbeatFailure::NotCbor, "not one complete CBOR item"};
    try {
        return heartbeatFromJson(json);
    } catch (const FieldError &error) {
        return HeartbeatError{HeartbeatFailure::BadField, error.detail};
    } catch (const Json::exception &error) {
        return HeartbeatError{HeartbeatFailure::BadField, error.what()};
    }
}

} // namespace chestnutvane
