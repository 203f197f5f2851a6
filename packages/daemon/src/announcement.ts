/** The announcement with which an upstream registers at its daemon. */
import { Address, Name, SequenceNumber, SlotCount, StartTime, check, warmupLeft } from '@cleatquay/settings';
import { type Static, Type } from '@sinclair/typebox';
import { createHash } from 'node:crypto';

/** Longest instance id, in characters, that a start id contains unhashed. */
const MAX_INSTANCE_ID_LENGTH = 40;

const AnnouncementSchema = Type.Object(
  {
    service: Name,
    address: Address,
    slots: SlotCount,
    connections: SlotCount,
    state: Type.Union([Type.Literal('ready'), Type.Literal('draining')], { default: 'ready' }),
    instanceId: Type.String({ maxLength: 200, default: '', description: 'identifies the upstream' }),
    /** Start time of the process; a later start may reuse the instance id. */
    born: StartTime,
    sequence: SequenceNumber,
    warmupLeftMs: warmupLeft(1),
  },
  { additionalProperties: false },
);

/** The content of an announcement, which an upstream repeats as a heartbeat every second. */
export type Announcement = Static<typeof AnnouncementSchema>;

/** Validates an announcement. Throws a failure that names the invalid field. */
export function checkAnnouncement(data: unknown): Announcement {
  return check(AnnouncementSchema, data, 'announcementInvalid');
}

/** Whether two announcements come from the same start of an upstream at the same address. */
export function isSameStart(a: Announcement, b: Announcement): boolean {
  return a.address === b.address && a.instanceId === b.instanceId && a.born === b.born;
}

/**
 * Returns the id, unique in the fleet, of the start that sent an announcement. A start is one process lifetime of an
 * upstream. An upstream without an instance id is identified by its address and the time at which it was first seen.
 */
export function startIdOf({ instanceId, born, address }: Announcement, firstSeenAt: Date): string {
  if (instanceId === '') return `${address}@${String(firstSeenAt.getTime())}`;
  return `${shortenInstanceId(instanceId)}@${String(born)}`;
}

/** Replaces a long instance id with a digest, since daemons send start ids in datagrams, whose size is limited. */
function shortenInstanceId(instanceId: string): string {
  if (instanceId.length <= MAX_INSTANCE_ID_LENGTH) return instanceId;
  return createHash('sha256').update(instanceId).digest('hex').slice(0, MAX_INSTANCE_ID_LENGTH);
}
