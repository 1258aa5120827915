// One function a message kind, from the core's values to the generated types.
#ifndef JACINTHDECK_PEER_MESSAGE_ENCODER_H_
#define JACINTHDECK_PEER_MESSAGE_ENCODER_H_

#include <envelope_generated.h>
#include <memory>

#include "jacinthdeck/cluster/messages.h"

namespace jacinthdeck::internal {

/*! \brief Turns a message into the generated union. */
[[nodiscard]] wire::MessageUnion EncodeMessage(const PeerMessage& message);

/*! \brief Turns a statement about a member into the generated type. */
[[nodiscard]] std::unique_ptr<wire::MemberUpdateT> EncodeUpdate(
    const MemberUpdate& update);

/*! \brief Turns an address into the generated type. */
[[nodiscard]] std::unique_ptr<wire::AddressT> EncodeAddress(
    const MemberAddress& address);

}  // namespace jacinthdeck::internal

#endif  // JACINTHDECK_PEER_MESSAGE_ENCODER_H_
