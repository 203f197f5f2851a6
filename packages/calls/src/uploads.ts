/** Uploads at their ingress: memory is reserved before a body is opened. */
import { type Random } from '@cleatquay/clock';
import { type CallContext, type Refusal } from '@cleatquay/protocol';
import { type CallBody, mayHaveBody } from './callHandler.js';
import { ReplayableBody } from './replayableBody.js';
import { type RequestBody, uploadSourceOf } from './requestBody.js';
import { INGRESS_UPLOAD_BYTES, type UploadBudget } from './uploadBudget.js';
import { UploadBody } from './uploadBody.js';
import { noMemoryRefusal } from './uploadIntake.js';

/** Opens the bodies of requests. */
export class Uploads {
  constructor(
    private readonly budget: UploadBudget,
    private readonly random: Random,
  ) {}

  /** The body of a request, or the refusal of an upload that gets no memory. Bodies of other requests are buffered at their beginning. */
  open({ upload }: Pick<CallContext, 'upload'>, method: string, source: CallBody): RequestBody | Refusal {
    if (!upload || !mayHaveBody(method) || Buffer.isBuffer(source)) return new ReplayableBody(source);
    const reservation = this.budget.reserve(INGRESS_UPLOAD_BYTES);
    if (!reservation) return noMemoryRefusal(this.random, false);
    return new UploadBody(uploadSourceOf(source), reservation);
  }
}
