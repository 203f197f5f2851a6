/** Validation of the quota messages that datagrams carry. Their numbers enter sums that last. */
import { type QuotaAnswer, type QuotaQuestion, type ShareLoan } from './generated/inner.js';

const MAX_NAME_LENGTH = 200;
/** More organisations than a datagram has room for. */
const MAX_ENTRIES = 5000;
/** More requests than a fleet gets in the lifetime of a message. */
const MAX_REQUESTS = 1_000_000_000;

/** A request for capacity, or a grant. */
interface Entry {
  readonly organisation: string;
  readonly requests: number;
}

/** Whether a request for capacity may be handled. */
export function isValidQuotaQuestion({ asks, loan }: QuotaQuestion): boolean {
  return areValidEntries(asks) && isValidLoan(loan);
}

/** Whether a coordinator's response may be handled. */
export function isValidQuotaAnswer({ grants, offer }: QuotaAnswer): boolean {
  return areValidEntries(grants) && isValidLoan(offer);
}

function areValidEntries(entries: readonly Entry[]): boolean {
  return entries.length <= MAX_ENTRIES && entries.every(isValidEntry);
}

function isValidEntry({ organisation, requests }: Entry): boolean {
  const isName = organisation !== '' && organisation.length <= MAX_NAME_LENGTH;
  return isName && requests >= 0 && requests <= MAX_REQUESTS;
}

function isValidLoan(loan: ShareLoan | undefined): boolean {
  if (!loan) return true;
  const { holder, until, share } = loan;
  return Number.isFinite(holder) && Number.isFinite(until) && share >= 0 && share <= 1;
}
