/** The platform's table service and object store, as this project uses them. */
export {
  type CommitResult,
  type ObjectStore,
  type Precondition,
  type Row,
  type RowWrite,
  type Table,
} from './store.js';
export { boundedText } from './boundedText.js';
export { HttpStore } from './httpStore.js';
