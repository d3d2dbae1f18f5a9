"""Converts messages between entry hosts to protobuf and back."""

from collections.abc import Sequence
import math

from google.protobuf.message import Message

from wigeongw.adapters.peer_pb import peer_pb2 as pb
from wigeongw.core.records import Revision
from wigeongw.decisions.fence import Fence
from wigeongw.decisions.grantor_state import UpstreamView
from wigeongw.decisions.messages import Ask
from wigeongw.decisions.messages import Cancel
from wigeongw.decisions.messages import Grant
from wigeongw.decisions.messages import GrantorMessage
from wigeongw.decisions.messages import HeldPermit
from wigeongw.decisions.messages import HolderMessage
from wigeongw.decisions.messages import LimitReport
from wigeongw.decisions.messages import Pressure
from wigeongw.decisions.messages import Register
from wigeongw.decisions.messages import Registered
from wigeongw.decisions.messages import Renew
from wigeongw.decisions.messages import Renewed
from wigeongw.decisions.messages import Return
from wigeongw.decisions.messages import Revoke
from wigeongw.decisions.messages import Verdict
from wigeongw.ports.errors import PeerError
from wigeongw.ports.peers import Heartbeat

STATE_WARM = "warm"
STATE_COLD = "cold"


def pack_holder_batch(
    host: str,
    messages: Sequence[HolderMessage],
    heartbeat: Heartbeat | None,
    now: float,
) -> pb.HolderBatch:
    """Pack messages of a holder; order is kept within each message type.

    Args:
        host: name of the sending host.
        messages: messages in the order in which they were queued.
        heartbeat: a heartbeat to send along, or None.
        now: milliseconds on the monotonic clock.
    """
    batch = pb.HolderBatch(host=host)
    if heartbeat is not None:
        batch.heartbeat.CopyFrom(_pack_heartbeat(heartbeat, now))
    for message in messages:
        _pack_holder_message(batch, message)
    return batch


def unpack_holder_batch(batch: pb.HolderBatch) -> list[HolderMessage]:
    """Unpack messages of a holder.

    Registers come first and returns before asks, so that the permits which a
    batch returns are available to the asks in the same batch.

    Raises:
        PeerError: if a field has an invalid value.
    """
    out: list[HolderMessage] = []
    for item in batch.registers:
        held = tuple(
            HeldPermit(p.permit, p.upstream, p.ends_in_ms)
            for p in item.permits
        )
        out.append(Register(item.pool, held))
    for item in batch.renews:
        out.append(Renew(item.pool, item.serial, tuple(item.permits)))
    for item in batch.returns:
        out.append(_unpack_return(item))
    for item in batch.asks:
        out.append(
            Ask(
                item.pool,
                item.number,
                item.ends_in_ms,
                tuple(item.avoid),
                item.replaces,
            )
        )
    for item in batch.cancels:
        out.append(Cancel(item.pool, item.number))
    return out


def pack_grantor_batch(messages: Sequence[GrantorMessage]) -> pb.GrantorBatch:
    """Pack messages of a grantor; order is kept within each message type."""
    batch = pb.GrantorBatch()
    for message in messages:
        _pack_grantor_message(batch, message)
    return batch


def unpack_grantor_batch(batch: pb.GrantorBatch) -> list[GrantorMessage]:
    """Unpack messages of a grantor.

    Revocations come last, so that they also apply to grants in the same
    batch.
    """
    out: list[GrantorMessage] = []
    out.extend(Registered(i.pool) for i in batch.registereds)
    out.extend(
        Grant(
            i.pool,
            i.number,
            i.permit,
            i.upstream,
            i.cold,
            i.pressed,
            i.queued_ms,
            i.single_use,
        )
        for i in batch.grants
    )
    out.extend(
        Renewed(i.pool, i.serial, tuple(i.permits)) for i in batch.reneweds
    )
    out.extend(Pressure(i.pool, i.queued_ms) for i in batch.pressures)
    out.extend(Revoke(i.pool, i.upstream) for i in batch.revokes)
    return out


def unpack_heartbeat(heartbeat: pb.Heartbeat, now: float) -> Heartbeat:
    """Unpack a heartbeat; ages become times on this host's clock.

    Args:
        heartbeat: the protobuf message.
        now: milliseconds on this host's monotonic clock.
    """
    return Heartbeat(
        heartbeat.host,
        heartbeat.revision,
        heartbeat.leaving,
        heartbeat.store_silent_ms,
        tuple(
            UpstreamView(
                u.pool,
                u.upstream,
                u.state == STATE_WARM,
                u.limit,
                u.start,
                now - u.seen_ago_ms,
                _unpack_rate(u, "rate_limit_per_s"),
            )
            for u in heartbeat.upstreams
        ),
        tuple(heartbeat.leaving_upstreams),
        tuple(Fence(f.pool, f.host, f.epoch, f.era) for f in heartbeat.fences),
    )


def pack_revision(revision: Revision) -> pb.Revision:
    """Pack a settings revision."""
    return pb.Revision(
        number=revision.number,
        text=revision.text,
        who=revision.who,
        why=revision.why,
        at_ms=revision.at_ms,
        before=revision.before,
        digest=revision.digest,
    )


def unpack_revision(message: pb.Revision) -> Revision:
    """Unpack a settings revision."""
    return Revision(
        message.number,
        message.text,
        message.who,
        message.why,
        message.at_ms,
        message.before,
        message.digest,
    )


def _pack_heartbeat(heartbeat: Heartbeat, now: float) -> pb.Heartbeat:
    """Pack a heartbeat; times become ages, because clocks differ."""
    return pb.Heartbeat(
        host=heartbeat.host,
        revision=heartbeat.revision,
        leaving=heartbeat.leaving,
        store_silent_ms=heartbeat.store_silent_ms,
        upstreams=[
            pb.UpstreamState(
                pool=u.pool,
                upstream=u.upstream,
                state=STATE_WARM if u.warm else STATE_COLD,
                limit=u.limit,
                start=u.start,
                seen_ago_ms=now - u.seen_at,
                rate_limit_per_s=u.rate_limit_per_s,
            )
            for u in heartbeat.upstreams
        ],
        leaving_upstreams=heartbeat.leaving_upstreams,
        fences=[
            pb.Fence(pool=f.pool, host=f.host, epoch=f.epoch, era=f.era)
            for f in heartbeat.fences
        ],
    )


def _pack_holder_message(
    batch: pb.HolderBatch, message: HolderMessage
) -> None:
    if isinstance(message, Ask):
        batch.asks.add(
            pool=message.pool,
            number=message.number,
            ends_in_ms=message.ends_in_ms,
            avoid=message.avoid,
            replaces=message.replaces,
        )
    elif isinstance(message, Return):
        batch.returns.add(
            pool=message.pool,
            permit=message.permit,
            upstream=message.upstream,
            verdict=int(message.verdict),
            served_ms=message.served_ms,
            start=message.start,
            limit=_pack_limit_report(message.limit),
        )
    elif isinstance(message, Cancel):
        batch.cancels.add(pool=message.pool, number=message.number)
    elif isinstance(message, Renew):
        batch.renews.add(
            pool=message.pool, serial=message.serial, permits=message.permits
        )
    else:
        register = batch.registers.add(pool=message.pool)
        for held in message.permits:
            register.permits.add(
                permit=held.permit,
                upstream=held.upstream,
                ends_in_ms=held.ends_in_ms,
            )


def _pack_grantor_message(
    batch: pb.GrantorBatch, message: GrantorMessage
) -> None:
    if isinstance(message, Grant):
        batch.grants.add(
            pool=message.pool,
            number=message.number,
            permit=message.permit,
            upstream=message.upstream,
            cold=message.cold,
            pressed=message.pressed,
            queued_ms=message.queued_ms,
            single_use=message.single_use,
        )
    elif isinstance(message, Pressure):
        batch.pressures.add(pool=message.pool, queued_ms=message.queued_ms)
    elif isinstance(message, Revoke):
        batch.revokes.add(pool=message.pool, upstream=message.upstream)
    elif isinstance(message, Registered):
        batch.registereds.add(pool=message.pool)
    else:
        batch.reneweds.add(
            pool=message.pool, serial=message.serial, permits=message.permits
        )


def _unpack_return(item: pb.Return) -> Return:
    try:
        verdict = Verdict(item.verdict)
    except ValueError as error:
        raise PeerError(
            f"return of permit {item.permit}: unknown verdict {item.verdict}"
        ) from error
    return Return(
        item.pool,
        item.permit,
        item.upstream,
        verdict,
        item.served_ms,
        item.start,
        _unpack_limit_report(item),
    )


def _pack_limit_report(limit: LimitReport | None) -> pb.LimitReport | None:
    return None if limit is None else pb.LimitReport(per_s=limit.per_s)


def _unpack_limit_report(item: pb.Return) -> LimitReport | None:
    if not item.HasField("limit"):
        return None
    return LimitReport(_unpack_rate(item.limit, "per_s"))


def _unpack_rate(message: Message, field: str) -> float | None:
    """Return an optional rate.

    Raises:
        PeerError: if the rate is negative or not finite.
    """
    if not message.HasField(field):
        return None
    rate = float(getattr(message, field))
    if not (math.isfinite(rate) and rate >= 0.0):
        raise PeerError(f"invalid rate limit {rate}")
    return rate
