// The last step of each caller's request: passes on the response that was made
// for it if the response states nothing that contradicts what is known of the
// request, and replaces it otherwise.
//
//   AnswerValidator Validator(Metrics);
//   return Validator.validate({RunState::MayHaveRun, Response}, RequestId);
//
// The ends of a request, and what its caller may be told:
//
//   end                                          run state      statuses
//   invalid, unknown key, no route               NeverSent      400, 401, 404
//   refused before it is sent, over quota        NeverSent      503, 429
//   queued until it would be late, not sent      NeverSent      503
//   declined by all backend servers that got it  Declined       503
//   answered with success, merged                HasRun         2xx
//   answered otherwise                           MayHaveRun     any but 2xx and
//                                                               promises
//   lost, malformed answer, deadline             MayHaveRun     502, 504
//   left by its caller                           any            none
//
// 408, 421, 429 and 503 are promises that the request has not run and never
// will. A backend server may use them, too, for a failure after it has run the
// request; its caller gets a 502. So does the caller of one that answers with
// success but without its signature, which would prove the run.
//
// What else follows from the run state: a request that has not run is given
// back to the quota of its team, and its response has no signature. The
// response to any other request has no Retry-After: what a backend server says
// there is for how long it wants no request from this host, and others may
// serve the caller at once.
//
// Requests that have not been read completely end in HttpServer, which passes
// none of them to its handler.

#ifndef MIMOSA_ENTRY_ANSWER_VALIDATOR_H
#define MIMOSA_ENTRY_ANSWER_VALIDATOR_H

#include "balance/call.h"
#include "runtime/http.h"
#include "runtime/metrics.h"

namespace mimosa {

/// What is known of a request that has ended, with all of its attempts.
enum class RunState {
  /// No backend server has got it, and none will.
  NeverSent,
  /// Each backend server that got it has stated that it has not run it. It is
  /// not sent again.
  Declined,
  MayHaveRun,
  HasRun,
};

/// Whether a request in \p State has not run and never will.
constexpr bool hasNotRun(RunState State) {
  return State == RunState::NeverSent || State == RunState::Declined;
}

/// What \p Result says of its request.
RunState runStateOf(const CallResult &Result);

/// The response to a request, and what is known of the request.
struct CallerAnswer {
  RunState State = RunState::MayHaveRun;
  HttpResponse Response;
};

class AnswerValidator {
public:
  explicit AnswerValidator(MetricsRegistry &Metrics) : Metrics(Metrics) {}

  /// Returns the response of \p Answer if its status is true of the request
  /// \p Id, and a 502 with the code outcome_unknown otherwise. Removes headers
  /// that do not hold for the request.
  HttpResponse validate(CallerAnswer Answer, const CallerRequestId &Id);

private:
  MetricsRegistry &Metrics;
};

} // namespace mimosa

#endif // MIMOSA_ENTRY_ANSWER_VALIDATOR_H
