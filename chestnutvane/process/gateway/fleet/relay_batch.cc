#include "chestnutvane/process/gateway/fleet/relay_batch.h"

#include <algorithm>
#include <limits>
#include <optional>

namespace chestnutvane {
namespace {

// A single report is a CBOR array, whose first byte is 0x80 or higher.
constexpr char batchMark = 'B';
constexpr unsigned bitsPerByte = 8;
constexpr std::size_t batchHeadBytes = 1 + 8 + 1;

// Appends a number with the lowest byte first.
template <class Integer>
void append(std::string &bytes, Integer number)
{
    for (std::size_t i = 0; i < sizeof(Integer); ++i)
        bytes += static_cast<char>((number >> (bitsPerByte * i)) & 0xffU);
}

// Reads numbers and bytes in the order in which they were appended.
class Reader
{
public:
    explicit Reader(std::string_view bytes) : bytes_(bytes) { }

    template <class Integer>
    std::optional<Integer> number()
    {
        const auto text = take(sizeof(Integer));
        if (!text)
            return std::nullopt;
        Integer result = 0;
        for (std::size_t i = 0; i < sizeof(Integer); ++i)
            result |= static_cast<Integer>(
                    static_cast<Integer>(static_cast<unsigned char>((*text)[i]))
                    << (bitsPerByte * i));
        return result;
    }

    std::optional<std::string_view> take(std::size_t size)
    {
        if (bytes_.size() < size)
            return std::nullopt;
        const auto result = bytes_.substr(0, size);
        bytes_.remove_prefix(size);
        return result;
    }

    [[nodiscard]] bool isAtEnd() const { return bytes_.empty(); }

private:
    std::string_view bytes_;
};

std::string encodeFrame(const RelayFrame &frame)
{
    constexpr Milliseconds::rep maxHeld = std::numeric_limits<std::uint16_t>::max();
    std::string bytes;
    append(bytes, frame.incarnation);
    append(bytes, frame.sequence);
    append(bytes, static_cast<std::uint8_t>(frame.audience));
    append(bytes, frame.relays);
    append(bytes, static_cast<std::uint8_t>(frame.agesUnknown ? 1 : 0));
    append(bytes,
           static_cast<std::uint16_t>(
                   std::clamp<Milliseconds::rep>(frame.held.count(), 0, maxHeld)));
    append(bytes, static_cast<std::uint32_t>(frame.report.size()));
    return bytes + frame.report;
}

std::optional<RelayFrame> readFrame(Reader &reader)
{
    RelayFrame frame;
    const auto incarnation = reader.number<std::uint64_t>();
    const auto sequence = reader.number<std::uint64_t>();
    const auto audience = reader.number<std::uint8_t>();
    const auto relays = reader.number<std::uint8_t>();
    const auto agesUnknown = reader.number<std::uint8_t>();
    const auto held = reader.number<std::uint16_t>();
    const auto size = reader.number<std::uint32_t>();
    if (!size || *audience > static_cast<std::uint8_t>(Audience::OtherRegions) || *agesUnknown > 1)
        return std::nullopt;
    const auto report = reader.take(*size);
    if (!report)
        return std::nullopt;
    return RelayFrame{*incarnation,
                      *sequence,
                      static_cast<Audience>(*audience),
                      *relays,
                      *agesUnknown == 1,
                      Milliseconds(*held),
                      std::string(*report)};
}

} // namespace

bool isBatch(std::string_view datagram)
{
    return !datagram.empty() && datagram.front() == batchMark;
}

std::vector<std::string> encodeBatches(const RelayBatch &batch, std::size_t maxBytes)
{
    std::string head(1, batchMark);
    append(head, batch.sender);
    append(head, static_cast<std::uint8_t>(batch.hop));
    std::vector<std::string> datagrams{head};
    for (const RelayFrame &frame : batch.frames) {
        const std::string bytes = encodeFrame(frame);
        if (datagrams.back().size() > head.size()
            && datagrams.back().size() + bytes.size() > maxBytes)
            datagrams.push_back(head);
        datagrams.back() += bytes;
    }
    return datagrams;
}

Result<RelayBatch, RelayBatchError> decodeBatch(std::string_view datagram)
{
    if (!isBatch(datagram) || datagram.size() < batchHeadBytes)
        return RelayBatchError{"not a batch of reports"};
    Reader reader(datagram.substr(1));
    RelayBatch batch;
    batch.sender = *reader.number<std::uint64_t>();
    const auto hop = *reader.number<std::uint8_t>();
    if (hop > static_cast<std::uint8_t>(Hop::ToMembers))
        return RelayBatchError{"unknown hop in batch of reports: " + std::to_string(hop)};
    batch.hop = static_cast<Hop>(hop);
    while (!reader.isAtEnd()) {
        auto frame = readFrame(reader);
        if (!frame)
            return RelayBatchError{"batch of reports with an invalid frame"};
        batch.frames.push_back(std::move(*frame));
    }
    return batch;
}

} // namespace chestnutvane
