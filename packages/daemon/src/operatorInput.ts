/** Validates what operators send to a daemon besides announcements. */
import { Failure } from '@cleatquay/errors';
import { Address, check } from '@cleatquay/settings';
import { type Static, Type } from '@sinclair/typebox';

/** More addresses than a fleet of the planned size has, with three for each daemon. */
const MAX_ADDRESSES = 100_000;

const PartitionSchema = Type.Object({ cut: Type.Array(Address, { maxItems: MAX_ADDRESSES, default: [] }) });

/** Addresses, of any protocol, from which to partition a daemon. */
export function checkPartition(data: unknown): Static<typeof PartitionSchema>['cut'] {
  return check(PartitionSchema, data, 'settingsInvalid').cut;
}

/** Decodes a part of a path; throws, with the name of its field, if it can't be decoded. */
export function decodePathPart(text: string, field: string): string {
  try {
    return decodeURIComponent(text);
  } catch (error) {
    throw new Failure('Expected a percent-encoded text.', { result: 'usageInvalid', field, cause: error });
  }
}
