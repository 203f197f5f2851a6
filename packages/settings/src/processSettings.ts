/** Schema and loading of the settings of one daemon. */
import { Failure } from '@cleatquay/errors';
import { type Static, Type } from '@sinclair/typebox';
import { readFileSync } from 'node:fs';
import { check, parseJson } from './check.js';
import { Address, Name } from './valueSchemas.js';

const Port = Type.Integer({ minimum: 0, maximum: 65_535, default: 0, description: '0 picks a free port' });
/** A shutdown is not waited for longer, nor is a key accepted. */
const DAY_MS = 86_400_000;
const MAX_SEEDS = 1000;
const MAX_FAILURE_DOMAINS = 1000;
const MAX_QUOTA_SLACK = 1_000_000_000;

/** JSON Schema of a daemon's settings file. */
export const ProcessSettingsSchema = Type.Object(
  {
    $schema: Type.Optional(Type.String()),
    ip: Type.String({ format: undefined, pattern: '^[\\d.]{7,15}$', description: 'IP address of this VM' }),
    failureDomain: Name,
    callerPort: Port,
    innerPort: Port,
    gossipPort: Port,
    operatorPort: Port,
    seeds: Type.Array(Address, {
      maxItems: MAX_SEEDS,
      default: [],
      description: 'gossip addresses of daemons to join through',
    }),
    platform: Type.Optional(Type.String({ pattern: '^http://', description: 'URL of the platform' })),
    logLevel: Type.Union(
      ['trace', 'debug', 'info', 'warn', 'error', 'silent'].map(level => Type.Literal(level)),
      { default: 'info' },
    ),
    drainMs: Type.Integer({
      minimum: 0,
      maximum: DAY_MS,
      default: 30_000,
      description: 'maximum wait for requests in flight during a shutdown',
    }),
    revocationMs: Type.Optional(
      Type.Integer({
        minimum: 4000,
        maximum: DAY_MS,
        description: 'how long any daemon, partitioned or not, may accept a key after its revocation',
      }),
    ),
    failureDomains: Type.Integer({
      minimum: 1,
      maximum: MAX_FAILURE_DOMAINS,
      default: 1,
      description: 'number of failure domains that share quotas',
    }),
    quotaSlack: Type.Integer({
      minimum: 0,
      maximum: MAX_QUOTA_SLACK,
      default: 0,
      description: 'requests of an organisation that may exceed its quota at any moment',
    }),
    protection: Type.Boolean({
      default: true,
      description: 'false: passthrough mode, the baseline of experiments',
    }),
    faultHooks: Type.Boolean({
      default: false,
      description: 'lets tests simulate network partitions between daemons',
    }),
  },
  { additionalProperties: false, $id: 'https://cleatquay.example/schemas/process-settings.json' },
);

/** Validated settings of one daemon, with defaults. */
export type ProcessSettings = Static<typeof ProcessSettingsSchema>;

/** Reads a settings file, and overrides its values by `overrides` (flags over environment over file). */
export function loadProcessSettings(
  file: string | undefined,
  overrides: Record<string, unknown>,
): ProcessSettings {
  const base = file === undefined ? {} : (parseJson(readSettings(file), 'settingsUnreadable') as object);
  const given = Object.entries(overrides).filter(([, value]) => value !== undefined);
  return check(ProcessSettingsSchema, { ...base, ...Object.fromEntries(given) }, 'settingsInvalid');
}

function readSettings(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (error) {
    throw new Failure(`Can't read ${file}.`, { result: 'settingsUnreadable', cause: error });
  }
}

/** Splits `ip:port`. */
export function splitAddress(address: string): { ip: string; port: number } {
  const colon = address.lastIndexOf(':');
  return { ip: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}
