/** Schemas of values that other processes send or store, with bounds beyond which no deployment goes. */
import { isAddress } from '@cleatquay/protocol';
import { FormatRegistry, Type } from '@sinclair/typebox';

/** Formats of texts by name. */
export const FORMATS = { 'ip:port': isAddress };

for (const [name, hasFormat] of Object.entries(FORMATS)) FormatRegistry.Set(name, hasFormat);

/** IPv4 address and port. Never a name, which would be looked up. */
export const Address = Type.String({ format: 'ip:port', description: 'IPv4 address and port' });

/** Longest text of an identifier on the platform, and in this project. */
export const MAX_NAME_LENGTH = 200;
/** Most slots or connections of one upstream. */
export const MAX_SLOTS = 100_000;
/** The last moment that a Date can represent, Unix ms. */
const MAX_DATE_MS = 8_640_000_000_000_000;
const DAY_MS = 86_400_000;

/** Name of a service, an upstream instance, or the like. */
export const Name = Type.String({ minLength: 1, maxLength: MAX_NAME_LENGTH });

/** Number of slots or connections of an upstream. */
export const SlotCount = Type.Integer({ minimum: 1, maximum: MAX_SLOTS });

/** A number that increases with each message. */
export const SequenceNumber = Type.Integer({ minimum: 0, maximum: Number.MAX_SAFE_INTEGER, default: 0 });

/** A moment, Unix ms. */
export const Timestamp = Type.Integer({ minimum: 0, maximum: MAX_DATE_MS });

/** When a process started, Unix ms; 0 if unknown. */
export const StartTime = Type.Integer({ minimum: 0, maximum: MAX_DATE_MS, default: 0 });

/** Remaining warm-up time of an upstream, in a unit of so many ms. */
export const warmupLeft = (unitMs: number) =>
  Type.Number({
    minimum: 0,
    maximum: DAY_MS / unitMs,
    default: 0,
    description: 'remaining warm-up time',
  });
