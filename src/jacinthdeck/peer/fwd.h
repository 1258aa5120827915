// Forward declarations of the peer module.
#ifndef JACINTHDECK_PEER_FWD_H_
#define JACINTHDECK_PEER_FWD_H_

namespace jacinthdeck {}  // namespace jacinthdeck

#endif  // JACINTHDECK_PEER_FWD_H_
