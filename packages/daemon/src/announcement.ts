/** What an upstream says of itself when it announces itself. */
import { check } from '@cleatquay/settings';
import { type Static, Type } from '@sinclair/typebox';
import { createHash } from 'node:crypto';

/** Characters of an upstream's name in that of a start of it. */
const LONGEST_NAME = 40;

const AnnouncementSchema = Type.Object(
  {
    service: Type.String({ minLength: 1 }),
    address: Type.String({ pattern: '^[\\d.]{7,15}:\\d{1,5}$' }),
    slots: Type.Integer({ minimum: 1, maximum: 100_000 }),
    connections: Type.Integer({ minimum: 1, maximum: 100_000 }),
    state: Type.Union([Type.Literal('ready'), Type.Literal('draining')], { default: 'ready' }),
    instanceId: Type.String({ default: '', description: 'names the upstream' }),
    born: Type.Integer({
      minimum: 0,
      default: 0,
      description: 'when it was started, Unix ms; another start may have the same id; 0 if it does not tell',
    }),
    sequence: Type.Integer({ minimum: 0, default: 0, description: 'rises with each announcement' }),
    warmupLeftMs: Type.Number({ minimum: 0, default: 0, description: 'how much longer it is slow' }),
  },
  { additionalProperties: false },
);

/** What it announces, and renews every second. */
export type Announcement = Static<typeof AnnouncementSchema>;

/** Checks an announcement, or fails naming the field at fault. */
export function checkAnnouncement(data: unknown): Announcement {
  return check(AnnouncementSchema, data, 'announcementInvalid');
}

/** Whether two announcements are of the same start at the same address. */
export function isSameStart(a: Announcement, b: Announcement): boolean {
  return a.address === b.address && a.instanceId === b.instanceId && a.born === b.born;
}

/**
 * Names the start that an announcement is of, in the whole fleet. An upstream that doesn't name itself is told apart by
 * its address, and by when it was first heard of.
 */
export function startOf({ instanceId, born, address }: Announcement, heardFirst: Date): string {
  if (instanceId === '') return `${address}@${String(heardFirst.getTime())}`;
  return `${shortened(instanceId)}@${String(born)}`;
}

/** A long name by its digest: daemons tell each other of starts in datagrams. */
function shortened(instanceId: string): string {
  if (instanceId.length <= LONGEST_NAME) return instanceId;
  return createHash('sha256').update(instanceId).digest('hex').slice(0, LONGEST_NAME);
}
