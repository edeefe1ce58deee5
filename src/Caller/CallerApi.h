#ifndef PARSLEYWING_CALLER_CALLERAPI_H
#define PARSLEYWING_CALLER_CALLERAPI_H

#include "Caller/Exchange.h"

namespace parsleywing {

/// Serves `POST /v1/responses`: checks the caller's key, limits and service,
/// and has the request served.
void serveResponses(Exchange &E);

/// Serves `GET /v1/models`: the model services that the account may use.
void serveModels(Exchange &E);

/// Serves `/services/{service}/{path...}`: a call of a plain HTTP service,
/// passed on unchanged.
void servePlainService(Exchange &E);

/// Serves `GET /health` for the platform's balancer: 200 while this router
/// takes new work, 503 while it drains. Needs no key.
void serveHealth(Exchange &E);

/// Serves any request by its path.
void serveExchange(Exchange &E);

} // namespace parsleywing

#endif
