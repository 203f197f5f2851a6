/** Parses the load that an upstream reports of itself in a response header. */
import { type HeaderValue } from './responseNotice.js';

/** The load of an upstream by its own count, which includes requests that this daemon did not send. */
export interface UpstreamLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** How long work takes on the VM of the upstream now, in percent of the usual; undefined if it does not report that. */
  readonly workTimePercent: number | undefined;
}

const WHOLE_NUMBER = /^\d{1,9}$/;
/** Larger figures are taken for errors: no upstream has as many slots, and no work takes a thousand times as long as usual. */
const MAX_FIGURE = 1_000_000;
const MAX_WORK_TIME_PERCENT = 100_000;

/** Parses `running,waiting,slots` or `running,waiting,slots,workTime`; undefined if a figure is missing or makes no sense. */
export function parseUpstreamLoad(header: HeaderValue): UpstreamLoad | undefined {
  if (typeof header !== 'string') return undefined;
  const texts = header.split(',').map(text => text.trim());
  if (texts.length !== 3 && texts.length !== 4) return undefined;
  if (!texts.every(text => WHOLE_NUMBER.test(text))) return undefined;
  const [running = 0, waiting = 0, slots = 0, workTimePercent] = texts.map(Number);
  if (running > MAX_FIGURE || waiting > MAX_FIGURE || slots > MAX_FIGURE || slots === 0) return undefined;
  if (workTimePercent === undefined) return { running, waiting, slots, workTimePercent: undefined };
  if (workTimePercent === 0 || workTimePercent > MAX_WORK_TIME_PERCENT) return undefined;
  return { running, waiting, slots, workTimePercent };
}
