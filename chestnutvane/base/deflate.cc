#include "chestnutvane/base/deflate.h"

#include <array>

#include <zlib.h>

namespace chestnutvane {
namespace {

// zlib does not write through this pointer, but for C callers it is not const.
Bytef *inputOf(std::string_view bytes)
{
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-const-cast,cppcoreguidelines-pro-type-reinterpret-cast)
    return const_cast<Bytef *>(reinterpret_cast<const Bytef *>(bytes.data()));
}

Bytef *outputOf(char *bytes)
{
    return reinterpret_cast<Bytef *>(bytes); // NOLINT(cppcoreguidelines-pro-type-reinterpret-cast)
}

} // namespace

std::string deflateBytes(std::string_view bytes)
{
    uLongf size = compressBound(bytes.size());
    std::string packed(size, '\0');
    // With compressBound() bytes of room it fails only without memory.
    if (compress2(outputOf(packed.data()), &size, inputOf(bytes), bytes.size(), Z_BEST_SPEED)
        != Z_OK)
        throw std::bad_alloc();
    packed.resize(size);
    return packed;
}

std::optional<std::string> inflateBytes(std::string_view packed, std::size_t maxBytes)
{
    z_stream stream{};
    stream.next_in = inputOf(packed);
    stream.avail_in = static_cast<uInt>(packed.size());
    if (inflateInit(&stream) != Z_OK)
        return std::nullopt;
    std::string bytes;
    int result = Z_OK;
    constexpr std::size_t chunkBytes = 16384;
    std::array<char, chunkBytes> chunk{};
    while (result == Z_OK && bytes.size() <= maxBytes) {
        stream.next_out = outputOf(chunk.data());
        stream.avail_out = static_cast<uInt>(chunk.size());
        result = inflate(&stream, Z_NO_FLUSH);
        bytes.append(chunk.data(), chunk.size() - stream.avail_out);
    }
    inflateEnd(&stream);
    if (result != Z_STREAM_END || stream.avail_in != 0 || bytes.size() > maxBytes)
        return std::nullopt;
    return bytes;
}

} // namespace chestnutvane
