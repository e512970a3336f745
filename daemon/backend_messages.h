// Encodes and decodes the messages of the backend servers' protocol
// (docs/design.md, 5.3).

#ifndef MIMOSA_DAEMON_BACKEND_MESSAGES_H
#define MIMOSA_DAEMON_BACKEND_MESSAGES_H

#include "base/message_codec.h"
#include "dispatch/actions.h"
#include "query/session.h"

#include <string>

namespace mimosa {

/// The body of POST /search for \p Action.
std::string searchBody(const SendSearch &Action, const std::string &RequestId);

/// Parses the reply to /search that has the HTTP status \p Status. The hits are
/// packed for the root in the reply's Body; see unpackSubRequestReply().
SearchReply parseSearchReply(int Status, const std::string &Body);

/// Parses the reply to /status; fails with BadBackendReply.
Result<StatusReport> parseStatusReport(const std::string &Body);

/// Unpacks the Body of a SearchReply; fails with BadFrame.
Result<SubRequestReply> unpackSubRequestReply(const std::string &Body);

} // namespace mimosa

#endif // MIMOSA_DAEMON_BACKEND_MESSAGES_H
