// The services of one instance, each with the ones that it calls.
//
// Example:
//
//   Services services(instance);
//   services.brokers.start();
//
// The instance must outlive the services. Thread-safe as far as each service is.
#pragma once

#include "chestnutvane/process/broker_service.h"
#include "chestnutvane/process/caller_service.h"
#include "chestnutvane/process/config_service.h"
#include "chestnutvane/process/grant_service.h"
#include "chestnutvane/process/instance.h"
#include "chestnutvane/process/look_up_service.h"
#include "chestnutvane/process/member_service.h"
#include "chestnutvane/process/operator_service.h"
#include "chestnutvane/process/steering_service.h"

namespace chestnutvane {

struct Services
{
    // Starts nothing: that is up to the owner, because listeners open in between.
    explicit Services(Instance &instance)
        : brokers(instance), grants(instance, brokers), members(instance, brokers, grants),
          configuration(instance), lookUps(instance), steering(instance),
          callers(instance, lookUps, grants, members, steering),
          operators(instance, brokers, configuration, lookUps, callers)
    { }

    BrokerService brokers;
    GrantService grants;
    MemberService members;
    ConfigService configuration;
    LookUpService lookUps;
    SteeringService steering;
    CallerService callers;
    OperatorService operators;
};

} // namespace chestnutvane
