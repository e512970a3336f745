// Messages between the root, the host that serves a non-idempotent request, and
// the claim owner of the request's service. base/message_codec.h encodes them.
//
//   root                         claim owner
//     ClaimRequest  ---------->
//                   <----------    ClaimReply
//     (runs the request)
//     ClaimSettlement ------->     (the outcome, or the release of the claim)
//
// A ClaimSettlement has no reply. If it is lost, the execution of a second
// request with the same key is reported as `unknown`.

#ifndef MIMOSA_CLAIM_MESSAGES_H
#define MIMOSA_CLAIM_MESSAGES_H

#include "base/ids.h"
#include "base/message_codec.h"
#include "base/time.h"

#include <string>

namespace mimosa {

/// Identifies one claim attempt: the root, its incarnation and a counter. Only
/// that incarnation may use a grant.
struct ClaimNonce {
  HostId Root;
  Incarnation RootIncarnation;
  RequestId Counter;
  MSGPACK_DEFINE_MAP(Root, RootIncarnation, Counter);
};

/// The claim owner's reply to a ClaimRequest.
enum class ClaimVerdict : int {
  /// The host is not the claim owner; the request must go to another host.
  NotOwner = 0,
  /// The nonce holds the claim.
  Granted = 1,
  /// Another nonce holds the claim.
  AlreadyClaimed = 2,
  /// The claim was not granted, and to the owner's knowledge no other attempt
  /// holds or can still get a grant of the key.
  Refused = 3,
  /// The claim was not granted, and the owner cannot rule out that the key was
  /// granted before.
  Unavailable = 4,
};

/// How a root ends a claim.
enum class SettlementKind : int {
  /// The request ended; the outcome is attached.
  Outcome = 0,
  /// The request did not run and will not run under this nonce.
  Release = 1,
};

} // namespace mimosa

MSGPACK_ADD_ENUM(mimosa::ClaimVerdict)
MSGPACK_ADD_ENUM(mimosa::SettlementKind)

namespace mimosa {

/// The outcome of a request, with which a second request with its key is
/// answered.
struct ClaimOutcome {
  /// Number of the ResultCode of the caller's answer.
  int Code = 0;
  /// The body of the caller's answer; empty if it is no longer cached.
  std::string Answer;
  MSGPACK_DEFINE_MAP(Code, Answer);
};

struct ClaimRequest {
  ServiceId Service;
  RequestKey Key;
  ClaimNonce Nonce;
  /// Time until the request's deadline.
  Duration Remaining{};
  MSGPACK_DEFINE_MAP(Service, Key, Nonce, Remaining);
};

struct ClaimReply {
  ServiceId Service;
  ClaimNonce Nonce;
  ClaimVerdict Verdict = ClaimVerdict::Unavailable;
  /// Number of the ResultCode of Refused and Unavailable.
  int Code = 0;
  /// True with Refused and Unavailable if the claim is or may become recorded
  /// in the log; the root then releases it.
  bool MayBeRecorded = false;
  /// True with AlreadyClaimed if Outcome is set.
  bool OutcomeKnown = false;
  ClaimOutcome Outcome;
  /// The host that sends the reply; set when it is sent.
  HostId Sender;
  MSGPACK_DEFINE_MAP(Service, Nonce, Verdict, Code, MayBeRecorded, OutcomeKnown,
                     Outcome, Sender);
};

struct ClaimSettlement {
  ServiceId Service;
  RequestKey Key;
  ClaimNonce Nonce;
  SettlementKind Kind = SettlementKind::Outcome;
  ClaimOutcome Outcome;
  MSGPACK_DEFINE_MAP(Service, Key, Nonce, Kind, Outcome);
};

} // namespace mimosa

#endif // MIMOSA_CLAIM_MESSAGES_H
