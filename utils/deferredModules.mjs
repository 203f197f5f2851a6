/**
 * An esbuild plugin that defers the loading of modules until their first use. Libraries load all of their modules at startup;
 * those that a daemon never uses would cost memory and processor time at every start.
 */

/** Source of a proxy for the exports of a module, which loads the module on first use and forwards to it. */
const LAZY_PROXY = `
  const deferred = load => {
    let loaded;
    const real = () => (loaded ??= load());
    // Libraries that copy settings read symbol properties of every value in them; that must not load the module.
    const isUse = key => typeof key === 'string' || key === Symbol.hasInstance;
    return new Proxy(function () {}.bind(), {
      get: (target, key) => (isUse(key) ? real() : target)[key],
      has: (target, key) => key in (isUse(key) ? real() : target),
      apply: (_, self, values) => Reflect.apply(real(), self, values),
      construct: (_, values) => Reflect.construct(real(), values),
    });
  };
`;

/**
 * Defers CommonJS modules, given by the paths under which libraries require them. `internalModules` stay in the bundle, since
 * they share state with modules that are loaded; `packages` share none and go to a second bundle, which keeps the first one small.
 */
export class DeferredModules {
  /** Resolved paths of the packages, by the path under which they are required. */
  resolvedPackages = new Map();

  constructor({ internalModules, packages, secondBundle }) {
    Object.assign(this, { internalModules, packages, secondBundle });
  }

  /** The plugin for the build of the first bundle. */
  get plugin() {
    return {
      name: 'deferred-modules',
      setup: build => {
        build.onResolve({ filter: /./ }, request => this.#resolve(build, request));
        build.onLoad({ filter: /./, namespace: 'deferred' }, ({ path }) => this.#load(path));
      },
    };
  }

  /** Source of the entry point of the second bundle; complete once the first bundle is built. */
  get entry() {
    const lines = [...this.resolvedPackages].map(
      ([name, path]) => `${quote(name)}: () => require(${quote(path)}),`,
    );
    return `module.exports = {\n${lines.join('\n')}\n};`;
  }

  async #resolve(build, { path, kind, namespace, resolveDir }) {
    if (kind !== 'require-call' || namespace !== 'file') return undefined;
    if (this.internalModules.includes(path)) return { path: `${resolveDir}\n${path}`, namespace: 'deferred' };
    if (!this.packages.includes(path)) return undefined;
    const { path: resolvedPath } = await build.resolve(path, { resolveDir, kind: 'import-statement' });
    this.resolvedPackages.set(path, resolvedPath);
    return { path, namespace: 'deferred' };
  }

  #load(path) {
    const [resolveDir, internalModule] = path.split('\n');
    const load = internalModule
      ? `require(${quote(internalModule)})`
      : `require(${quote(this.secondBundle)})[${quote(path)}]()`;
    return { contents: `${LAZY_PROXY} module.exports = deferred(() => ${load});`, resolveDir };
  }
}

function quote(text) {
  return JSON.stringify(text);
}
