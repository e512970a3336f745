// Checks addresses of the form "ip:port", as other programs write them.

#ifndef MIMOSA_RUNTIME_ENDPOINT_H
#define MIMOSA_RUNTIME_ENDPOINT_H

#include <string_view>

namespace mimosa {

/// Whether one can connect to \p Address: an IP address and a port from 1 to
/// 65535.
bool isConnectableAddress(std::string_view Address);

} // namespace mimosa

#endif // MIMOSA_RUNTIME_ENDPOINT_H
