#include "entry/answer_validator.h"

#include "platform/caller_wire.h"
#include "runtime/log.h"

namespace mimosa {

namespace {

const char *runStateName(RunState State) {
  switch (State) {
  case RunState::NeverSent:
    return "never_sent";
  case RunState::Declined:
    return "declined";
  case RunState::MayHaveRun:
    return "may_have_run";
  case RunState::HasRun:
    break;
  }
  return "has_run";
}

bool isTrue(RunState State, int Status) {
  if (promisesNotRun(Status))
    return hasNotRun(State);
  return Status < 200 || Status > 299 || State == RunState::HasRun;
}

} // namespace

RunState runStateOf(const CallResult &Result) {
  switch (Result.Outcome) {
  case CallOutcome::Answered:
    return Result.Answer.success() ? RunState::HasRun : RunState::MayHaveRun;
  case CallOutcome::NotRun:
    return Result.Attempts > 0 ? RunState::Declined : RunState::NeverSent;
  case CallOutcome::Unknown:
    break;
  }
  return RunState::MayHaveRun;
}

HttpResponse AnswerValidator::validate(CallerAnswer Answer,
                                       const CallerRequestId &Id) {
  HttpResponse &Response = Answer.Response;
  if (isTrue(Answer.State, Response.Status)) {
    if (hasNotRun(Answer.State))
      removeSignatures(Response);
    else
      removeRetryAfter(Response);
    return std::move(Response);
  }
  std::string Status = std::to_string(Response.Status);
  std::string State = runStateName(Answer.State);
  Metrics
      .counter("mimosa_answers_replaced_total",
               {{"state", State}, {"status", Status}})
      .add();
  logRequest("request", "event=answer_replaced request=" + Id.text() +
                            " state=" + State + " status=" + Status);
  HttpResponse Out =
      encodeFailure(502, {ResultCode::OutcomeUnknown,
                          "the request ended with status " + Status +
                              ", which would misstate whether it has run"});
  Out.Close = Response.Close;
  return Out;
}

} // namespace mimosa
