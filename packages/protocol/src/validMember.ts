/** Validation of the records about members that datagrams carry. */
import { type Member, type MemberState, type Upstream } from './generated/inner.js';
import { isAddress } from './validation.js';

const MAX_NAME_LENGTH = 200;
/** Most slots or connections of one upstream. */
const MAX_SLOTS = 100_000;
/** More services than a fleet has; a daemon has one upstream of each at most. */
const MAX_UPSTREAMS = 400;
const STATES: ReadonlySet<MemberState> = new Set<MemberState>(['ALIVE', 'SUSPECT', 'DEAD', 'LEFT']);
/**
 * How far the epoch of a record, a wall clock, may lie ahead of this daemon's: a century, since clocks of starting VMs may be far off. A member
 * refutes a record with a higher epoch by the next one, which must not leave the range that can be decoded, and must be valid soon itself.
 */
const MAX_EPOCH_AHEAD_MS = 100 * 365 * 86_400_000;

/** Whether a record may enter the member table at a time, Unix ms. */
export function isValidMember(member: Member, now: number): boolean {
  const { address, gossipAddress, operatorAddress, failureDomain, epoch, state, upstreams } = member;
  return (
    [address, gossipAddress, operatorAddress].every(isAddress) &&
    isName(failureDomain) &&
    epoch > 0 &&
    epoch <= now + MAX_EPOCH_AHEAD_MS &&
    STATES.has(state) &&
    upstreams.length <= MAX_UPSTREAMS &&
    upstreams.every(isValidUpstream)
  );
}

function isValidUpstream({ service, address, slots, connections }: Upstream): boolean {
  return isName(service) && isAddress(address) && slots <= MAX_SLOTS && connections <= MAX_SLOTS;
}

function isName(text: string): boolean {
  return text !== '' && text.length <= MAX_NAME_LENGTH;
}
