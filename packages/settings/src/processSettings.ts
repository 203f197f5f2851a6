/** The settings of one daemon. */
import { Failure } from '@cleatquay/errors';
import { type Static, Type } from '@sinclair/typebox';
import { readFileSync } from 'node:fs';
import { check, parseJson } from './check.js';

const Port = Type.Integer({ minimum: 0, maximum: 65_535, default: 0, description: '0 takes any free port' });
const Address = Type.String({ pattern: '^[\\d.]{7,15}:\\d{1,5}$', description: 'IP number and port' });

/** JSON Schema of a daemon's settings file. */
export const ProcessSettingsSchema = Type.Object(
  {
    $schema: Type.Optional(Type.String()),
    ip: Type.String({ format: undefined, pattern: '^[\\d.]{7,15}$', description: 'IP number of this VM' }),
    failureDomain: Type.String({ minLength: 1 }),
    callerPort: Port,
    innerPort: Port,
    gossipPort: Port,
    operatorPort: Port,
    seeds: Type.Array(Address, { default: [], description: 'gossip addresses of daemons to join by' }),
    platform: Type.Optional(Type.String({ pattern: '^http://', description: 'URL of the platform' })),
    logLevel: Type.Union(
      ['trace', 'debug', 'info', 'warn', 'error', 'silent'].map(level => Type.Literal(level)),
      { default: 'info' },
    ),
    drainMs: Type.Integer({
      minimum: 0,
      default: 30_000,
      description: 'longest wait for requests in flight',
    }),
    revocationMs: Type.Optional(
      Type.Integer({
        minimum: 4000,
        description: 'how long a key that was taken away may be honoured by any daemon, cut off or not',
      }),
    ),
    failureDomains: Type.Integer({
      minimum: 1,
      default: 1,
      description: 'number of failure domains, which share quotas',
    }),
    quotaSlack: Type.Integer({
      minimum: 0,
      default: 0,
      description: 'requests of an organisation that may run beyond its quota in one moment',
    }),
    protection: Type.Boolean({
      default: true,
      description: 'false: the plain path, the baseline of experiments',
    }),
    faultHooks: Type.Boolean({ default: false, description: 'lets tests cut this daemon off from others' }),
  },
  { additionalProperties: false, $id: 'https://cleatquay.example/schemas/process-settings.json' },
);

/** Settings of one daemon, checked and with defaults. */
export type ProcessSettings = Static<typeof ProcessSettingsSchema>;

/** Reads a settings file and lays `overrides` over it (flags over environment over file). */
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

/** The two halves of `ip:port`. */
export function splitAddress(address: string): { ip: string; port: number } {
  const colon = address.lastIndexOf(':');
  return { ip: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}
