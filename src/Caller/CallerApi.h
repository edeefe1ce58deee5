#ifndef PARSLEYWING_CALLER_CALLERAPI_H
#define PARSLEYWING_CALLER_CALLERAPI_H

#include "Caller/Exchange.h"

namespace parsleywing {

/// Serves `POST /v1/responses`: authenticates the caller, enforces the limits,
/// validates the request and runs it on a model engine.
void serveResponses(Exchange &E);

/// Serves `GET /v1/models`: lists the model services that the account may use.
void serveModels(Exchange &E);

/// Serves `/services/{service}/{path...}`: forwards the request unchanged to a
/// plain HTTP service.
void servePlainService(Exchange &E);

/// Serves `GET /health` for the platform's load balancer: 200 while this router
/// accepts new requests, 503 while it drains. Requires no key.
void serveHealth(Exchange &E);

/// Validates the request head and dispatches the request by its path.
void serveExchange(Exchange &E);

} // namespace parsleywing

#endif
