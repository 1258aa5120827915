// Forward declarations of the peer module: framed FlatBuffers between the
// entries.
#ifndef JACINTHDECK_PEER_FWD_H_
#define JACINTHDECK_PEER_FWD_H_

namespace jacinthdeck {

class FrameReader;
class PeerTransport;

}  // namespace jacinthdeck

#endif  // JACINTHDECK_PEER_FWD_H_
