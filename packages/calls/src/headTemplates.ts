/**
 * What the heads of many requests on a link have in common travels once: a template, which later heads name by its
 * number. Less than half of a call's bytes are left, which go between failure domains and through the codec at both ends. The idea is that of HPACK's dynamic table (RFC 7541, section 2.3.2), without its eviction.
 */
import { type CallContext, type HeadTemplate, type RequestHead, type RequestPart } from '@cleatquay/protocol';

/** Templates of a link, at most: some 300 bytes each at both ends. Heads beyond them travel whole. */
export const MAX_TEMPLATES = 256;

/** A head as it travels: the fields of the first part of a request that stand for it. */
export type EncodedHead = Pick<RequestPart, 'head' | 'template' | 'definition' | 'rootLength'>;

/** Parts after the first have none. */
export const NO_HEAD: EncodedHead = {
  head: undefined,
  template: 0,
  definition: undefined,
  rootLength: 0,
};

/** The calling end's templates, by what they hold. */
export class HeadEncoder {
  private readonly numberByKey = new Map<string, number>();

  /** A head that is sent right after this, and before any other. */
  encode(head: RequestHead): EncodedHead {
    const { context } = head;
    if (!context || context.toHome) return { ...NO_HEAD, head };
    const template = templateOf(head, context);
    const key = templateKey(template);
    const known = this.numberByKey.get(key);
    const number = known ?? this.numberByKey.size + 1;
    if (number > MAX_TEMPLATES) return { ...NO_HEAD, head };
    if (known === undefined) this.numberByKey.set(key, number);
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
      definition: known === undefined ? template : undefined,
      rootLength,
    };
  }
}

/** The called end's templates, by number. */
export class HeadDecoder {
  private readonly templates: HeadTemplate[] = [];

  /** The whole head; undefined where the part has none, or names a template that was never defined. */
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

/** Names what a template holds; the headers, which hold line feeds themselves, come last. */
function templateKey(template: HeadTemplate): string {
  const { service, method, headers, route, idempotent, originService, targetEpoch } = template;
  return `${service}\n${method}\n${route}\n${String(idempotent)}\n${originService}\n${String(targetEpoch)}\n${headers}`;
}
