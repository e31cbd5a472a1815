// Serves operators: status, metrics, health, explain and changes of the configuration.
//
// Paths: GET /healthz, /readyz, /metrics, /v1/status, /v1/config, /v1/explain?service=S&client=IP,
// /v1/change?id=ID&base=REVISION (base may be left out), /v1/suspects; POST /v1/apply with JSON
// {rules, base-revision, change-id, author, repeated, timeout-ms} (the last two may be left out),
// /v1/suspects/clear with JSON {fingerprint}, a text of decimal digits.
//
// Thread-safe.
#pragma once

#include "chestnutvane/connection/http_server.h"
#include "chestnutvane/process/broker_service.h"
#include "chestnutvane/process/caller_service.h"
#include "chestnutvane/process/config_service.h"
#include "chestnutvane/process/instance.h"
#include "chestnutvane/process/look_up_service.h"

namespace chestnutvane {

class OperatorService
{
public:
    OperatorService(Instance &instance, BrokerService &brokers, ConfigService &configuration,
                    LookUpService &lookUps, CallerService &callers);

    // Handles a request of an operator.
    void handle(ServerRequest request, Responder respond);

private:
    void status(const Responder &respond);
    void config(const Responder &respond);
    void change(const ServerRequest &request, Responder respond);
    void explain(const ServerRequest &request, const Responder &respond);
    void apply(const ServerRequest &request, Responder respond);
    void suspects(const Responder &respond);
    void clearSuspect(const ServerRequest &request, const Responder &respond);
    void metrics(const Responder &respond);
    bool ready();

    Instance &instance_;
    BrokerService &brokers_;
    ConfigService &configuration_;
    LookUpService &lookUps_;
    CallerService &callers_;
};

} // namespace chestnutvane
