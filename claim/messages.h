// Messages between the host that serves a non-idempotent request (the root) and
// the claim owner of the request's service. They are coded with
// base/message_codec.h.
//
//   root                         claim owner
//     ClaimRequest  ---------->
//                   <----------    ClaimReply
//     (runs the request)
//     ClaimSettlement ------->     (the outcome, or the release of the claim)
//
// A ClaimSettlement has no reply. If it is lost, a second request with the same
// key is answered with `unknown`.

#ifndef MIMOSA_CLAIM_MESSAGES_H
#define MIMOSA_CLAIM_MESSAGES_H

#include "base/ids.h"
#include "base/message_codec.h"
#include "base/time.h"

#include <string>

namespace mimosa {

/// Names one attempt to claim: the root, its incarnation and a counter. Only
/// that incarnation may use a grant.
struct ClaimNonce {
  HostId Root;
  Incarnation RootIncarnation;
  RequestId Counter;
  MSGPACK_DEFINE_MAP(Root, RootIncarnation, Counter);
};

/// What the claim owner answers.
enum class ClaimVerdict : int {
  /// The host is not the claim owner; ask another.
  NotOwner = 0,
  /// The nonce holds the claim.
  Granted = 1,
  /// Another nonce holds the claim.
  AlreadyClaimed = 2,
  /// The claim was not granted, and the owner knows of no grant of the key.
  Refused = 3,
  /// The claim was not granted, and the owner cannot tell whether the key was
  /// granted before.
  Unavailable = 4,
};

/// What a root does with a claim that it was granted.
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

/// The outcome of a request, kept to answer a second request with its key.
struct ClaimOutcome {
  /// Number of the ResultCode that the caller got.
  int Code = 0;
  /// The body of the caller's answer; empty if it is no longer kept.
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
  /// Set with Refused and Unavailable if the claim may yet turn up in the log;
  /// the root then releases it.
  bool MayBeRecorded = false;
  /// Set with AlreadyClaimed if Outcome is known.
  bool OutcomeKnown = false;
  ClaimOutcome Outcome;
  MSGPACK_DEFINE_MAP(Service, Nonce, Verdict, Code, MayBeRecorded, OutcomeKnown,
                     Outcome);
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
