// Implements the Store interface over the HTTP API of the platform's key-value service.
//
// Example:
//
//   HttpStoreCounters counters;
//   Store store = makeHttpStore({.baseUrl = "http://127.0.0.1:2379"}, client, counters);
//
// Thread-safe. The client and the counters must outlive every copy of the store. Callbacks run on
// the client's thread. Reads are idempotent and may use pooled connections. Writes use a new
// connection, because libcurl may resend a request on its own when a pooled connection closes.
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
    std::string baseUrl; // "http://IP:port", without a trailing slash
    Milliseconds timeout{2000}; // of each call; a watch adds its maximum wait
};

// Number of calls to the service by kind. A call is counted when it is sent.
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

// Returns a store that sends its calls with the client and counts them.
Store makeHttpStore(HttpStoreOptions options, HttpClient &client, HttpStoreCounters &counters);

} // namespace chestnutvane
