// The backend servers' protocol (docs/design.md, 5.3) as typed messages.

#ifndef MIMOSA_DAEMON_BACKEND_MESSAGES_H
#define MIMOSA_DAEMON_BACKEND_MESSAGES_H

#include "base/message_codec.h"
#include "dispatch/actions.h"
#include "query/session.h"

#include <string>

namespace mimosa {

/// Body of POST /search for \p Action.
std::string searchBody(const SendSearch &Action, const std::string &RequestId);

/// Reads a reply to /search with HTTP status \p Status. The hits of an answer
/// are repacked for the root; see unpackSubRequestReply().
SearchReply parseSearchReply(int Status, const std::string &Body);

/// Reads a reply to /status; fails with BadBackendReply.
Result<StatusReport> parseStatusReport(const std::string &Body);

/// The answer in the body of a SearchReply; fails with BadFrame.
Result<SubRequestReply> unpackSubRequestReply(const std::string &Body);

} // namespace mimosa

#endif // MIMOSA_DAEMON_BACKEND_MESSAGES_H
