/** Binds Idempotency-Key headers to request ids in the platform's table: the first daemon to bind a key fixes its request id for good. */
import { type Clock } from '@cleatquay/clock';
import { type Table } from '@cleatquay/store';
import { createHash } from 'node:crypto';

const MAX_ATTEMPTS = 5;
const BACKOFF_STEP_MS = 100;

/** Bindings of keys to request ids, which never expire. */
export class IdempotencyKeys {
  constructor(
    private readonly clock: Clock,
    private readonly table: Table | undefined,
  ) {}

  /** The request id that the key is bound to, for good; undefined without a table, or when the platform does not respond. */
  async bind(service: string, key: string, freshId: string): Promise<string | undefined> {
    if (!this.table) return undefined;
    const row = `claim-${createHash('sha256').update(`${service}\n${key}`).digest('base64url')}`;
    for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
      const id = await this.tryBind(this.table, row, freshId).catch(() => undefined);
      if (id !== undefined) return id;
      await this.clock.sleep(BACKOFF_STEP_MS * attempt);
    }
    return undefined;
  }

  private async tryBind(table: Table, key: string, freshId: string): Promise<string | undefined> {
    const result = await table.commit([{ key, value: freshId, ifVersion: 0 }]);
    if (result.committed) return freshId;
    return (await table.read(key))?.value;
  }
}
