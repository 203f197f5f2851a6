/** The configuration that one daemon has in force. It only ever moves to higher generations. */
import { type Clock } from '@cleatquay/clock';
import { invariant } from '@cleatquay/errors';
import { type ConfigurationAnswer, type Section } from '@cleatquay/protocol';
import { CallGraph } from '@cleatquay/settings';
import { type AppliedVersion } from './configurationStore.js';
import { joinSections } from './sections.js';

/** Holds the version in force and hands out what a peer lacks. */
export class Configuration {
  private version: AppliedVersion | undefined;
  private compiled: CallGraph | undefined;

  private adopted: Date | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly onChange: (generation: number) => void,
  ) {}

  /** 0 before the first. */
  get generation(): number {
    return this.version?.generation ?? 0;
  }

  /** Identifies the apply that made the version in force. */
  get applyId(): string {
    return this.version?.applyId ?? '';
  }

  /** When the version in force came. */
  get adoptedAt(): Date | undefined {
    return this.adopted;
  }

  /** The declared call graph; undefined before the first generation. */
  get graph(): CallGraph | undefined {
    return this.compiled;
  }

  /** Puts a version in force if it is higher; says whether it did. Fails for content that doesn't check. */
  adopt(version: AppliedVersion): boolean {
    if (version.generation <= this.generation) return false;
    this.compiled = new CallGraph(joinSections(version.sections));
    invariant(version.generation > this.generation, 'Configuration: a generation went back.');
    this.version = version;
    this.adopted = this.clock.date();
    this.onChange(version.generation);
    return true;
  }

  /** What a peer at generation `known` lacks; the whole when it has nothing. */
  changesSince(known: number): ConfigurationAnswer {
    const version = this.version;
    if (!version || known >= version.generation) {
      return { generation: this.generation, base: known, sections: [], applyId: this.applyId };
    }
    const names = [...version.since].filter(([, since]) => since > known).map(([name]) => name);
    const sections = names.map((name): Section => ({ name, content: version.sections.get(name) ?? '' }));
    return { generation: version.generation, base: known, sections, applyId: version.applyId };
  }

  /** Puts a peer's answer in force if it is higher and made for what is in force here. */
  adoptChanges(answer: ConfigurationAnswer): boolean {
    if (answer.generation <= this.generation || answer.base !== this.generation) return false;
    const sections = new Map(this.version?.sections);
    const since = new Map(this.version?.since);
    for (const { name, content } of answer.sections) {
      if (content === '') sections.delete(name);
      else sections.set(name, content);
      since.set(name, answer.generation);
    }
    return this.adopt({ generation: answer.generation, applyId: answer.applyId, sections, since });
  }
}
