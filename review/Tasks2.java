/** Threads of a case; what ends one is a connection that closes. */
final class Tasks2 {
    private Tasks2() {}

    interface Task {
        void run() throws Exception;
    }

    static Thread daemon(Task task) {
        Thread thread =
                new Thread(
                        null,
                        () -> {
                            try {
                                task.run();
                            } catch (Exception e) {
                                // its connection has closed
                            }
                        },
                        "task",
                        256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
