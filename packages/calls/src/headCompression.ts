/**
 * Header compression for links. The fields that many request heads have in common are sent once, as a template that later
 * heads refer to by its number. That saves more than half of the bytes of a call between failure domains and in the codec
 * of both sides. Modelled on the dynamic table of HPACK (RFC 7541, section 2.3.2), without eviction.
 */
import { type CallContext, type HeadTemplate, type RequestHead, type RequestPart } from '@cleatquay/protocol';

/** Limit of templates per link, each of some 300 bytes on both sides. Further heads are sent uncompressed. */
export const MAX_TEMPLATES = 256;

/** A head as it is sent: the fields of a request's first part that encode it. */
export type EncodedHead = Pick<RequestPart, 'head' | 'template' | 'definition' | 'rootLength'>;

/** For parts after the first, which have no head. */
export const NO_HEAD: EncodedHead = {
  head: undefined,
  template: 0,
  definition: undefined,
  rootLength: 0,
};

/** The client side of a link. */
export class HeadEncoder {
  private readonly numberByKey = new Map<string, number>();

  /** Encodes a head, which has to be sent before any head that is encoded later: the first use of a template defines it. */
  encode(head: RequestHead): EncodedHead {
    const { context } = head;
    if (!context || context.toHome) return { ...NO_HEAD, head };
    const template = templateOf(head, context);
    const key = templateKey(template);
    const existing = this.numberByKey.get(key);
    const number = existing ?? this.numberByKey.size + 1;
    if (number > MAX_TEMPLATES) return { ...NO_HEAD, head };
    if (existing === undefined) this.numberByKey.set(key, number);
    const { requestId, rootId } = context;
    const rootLength = requestId.startsWith(rootId) ? rootId.length : 0;
    return {
      head: {
        service: '',
        method: '',
        path: head.path,
        headers: '',
        fingerprint: head.fingerprint,
        endedStarts: head.endedStarts,
        notice: head.notice,
        context: {
          ...context,
          route: '',
          originService: '',
          targetEpoch: 0,
          idempotent: false,
          rootId: rootLength > 0 ? '' : rootId,
        },
      },
      template: number,
      definition: existing === undefined ? template : undefined,
      rootLength,
    };
  }
}

/** The server side of a link. */
export class HeadDecoder {
  private readonly templates: HeadTemplate[] = [];

  /** Decodes a head; undefined if the part has none, or refers to a template that was never defined. */
  decode({ head, template: number, definition, rootLength }: EncodedHead): RequestHead | undefined {
    if (!head?.context || number === 0) return head;
    if (definition && number === this.templates.length + 1 && number <= MAX_TEMPLATES)
      this.templates.push(definition);
    const template = this.templates[number - 1];
    if (!template) return undefined;
    const { service, method, headers, route, idempotent, originService, targetEpoch } = template;
    const { context } = head;
    const rootId = rootLength > 0 ? context.requestId.slice(0, rootLength) : context.rootId;
    return {
      service,
      method,
      path: head.path,
      headers,
      fingerprint: head.fingerprint,
      endedStarts: head.endedStarts,
      notice: head.notice,
      context: { ...context, rootId, route, idempotent, originService, targetEpoch },
    };
  }
}

function templateOf({ service, method, headers }: RequestHead, context: CallContext): HeadTemplate {
  const { route, idempotent, originService, targetEpoch } = context;
  return { service, method, headers, route, idempotent, originService, targetEpoch };
}

/** Identifies a template by its content. The headers come last, since they contain line feeds themselves. */
function templateKey(template: HeadTemplate): string {
  const { service, method, headers, route, idempotent, originService, targetEpoch } = template;
  return `${service}\n${method}\n${route}\n${String(idempotent)}\n${originService}\n${String(targetEpoch)}\n${headers}`;
}
