// The store interface over the platform's HTTP service.
//
// Example:
//
//   HttpStoreCounters counters;
//   Store store = makeHttpStore({.baseUrl = "http://127.0.0.1:2379"}, client, counters);
//
// Thread-safe. The client and the counters must outlive every copy of the store. Callbacks run on
// the client's thread. Reads are safe to repeat and may use pooled connections. Writes use a fresh
// connection, because libcurl may send a request again on its own when a pooled one closes.
#pragma once

#include <atomic>
#include <cstdint>
#include <string>

#include "chestnutvane/base/time.h"
#include "chestnutvane/connection/http_client.h"
#include "chestnutvane/process/store.h"

namespace chestnutvane {

struct HttpStoreOptions
{
    std::string baseUrl; // "http://IP:port", without a slash at the end
    Milliseconds timeout{2000}; // of each call; a watch gets its wait on top
};

// Calls made to the service, by kind. Each is counted when it is sent.
struct HttpStoreCounters
{
    std::atomic<std::uint64_t> gets{0};
    std::atomic<std::uint64_t> lists{0};
    std::atomic<std::uint64_t> watches{0};
    std::atomic<std::uint64_t> compareAndSwaps{0};
    std::atomic<std::uint64_t> leaseGrants{0};
    std::atomic<std::uint64_t> keepAlives{0};
    std::atomic<std::uint64_t> leaseRevocations{0};
};

Store makeHttpStore(HttpStoreOptions options, HttpClient &client, HttpStoreCounters &counters);

} // namespace chestnutvane
